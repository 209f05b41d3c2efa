package org.bronzelug.router.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.api.fleet.v1.EndpointLimitUse;
import org.bronzelug.api.fleet.v1.TeamUse;
import org.bronzelug.api.fleet.v1.VmState;

/**
 * The other VMs of the fleet, as known from their state updates, and the addresses at which VMs may
 * listen.
 *
 * <p>The table is also the failure detector. A VM is live while its last state update is younger
 * than a timeout that covers several of its rounds in a small fleet, or two turns of the fleet in a
 * large one. A VM that is no longer live still counts as admitting requests, since it may be cut
 * off, unless it has stopped or is known to be gone.
 *
 * <p>Invariant: within one incarnation of a VM, only a state update with a higher sequence number
 * replaces an earlier one, so a delayed datagram changes nothing. Confined to the control thread.
 */
public final class MemberTable {
    /**
     * Minimum time without a state update after which a VM is not live. In a small fleet, where a
     * VM sends to all peers in each round of 150 ms, six datagrams in a row were lost by then, or
     * their sender is silent.
     */
    private static final long MINIMUM_LIVE_NANOS = 1_000_000_000L;

    /**
     * Turns of a large fleet without a state update after which a VM is not live; one round is
     * added for delay.
     */
    private static final int SILENT_TURNS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Time without a state update after which a VM no longer answers, and after which a VM that was
     * stopping has ended.
     */
    private static final long EXPIRY_NANOS = 10_000_000_000L;

    /**
     * Time after which a VM that is not heard no longer counts as part of the fleet. Longer than
     * partitions of the network last.
     */
    private static final long FLEET_NANOS = 900_000_000_000L;

    /** Fraction of its share that a VM uses while other VMs may have taken that share. */
    private static final double LOST_SHARE_FRACTION = 0.1;

    private final String self;
    private final Map<String, Member> members = new HashMap<>();

    /** When each VM was last heard, or listed before it was heard. */
    private final Map<String, Long> lastKnownNanos = new HashMap<>();

    private final Set<String> addresses = new HashSet<>();
    private final Set<String> gone = new HashSet<>();
    private boolean shareLost;

    public MemberTable(String self) {
        this.self = self;
    }

    /**
     * Records a state update of a VM.
     *
     * @return whether it is newer than what was known of the VM
     */
    public boolean update(VmState state, long nowNanos) {
        if (state.getVm().equals(self)) {
            return false;
        }
        Member known = members.get(state.getVm());
        boolean outdated =
                known != null
                        && known.state().getIncarnation().equals(state.getIncarnation())
                        && known.state().getSequence() >= state.getSequence();
        if (outdated) {
            return false;
        }
        gone.remove(state.getVm());
        if (state.getCountsOnly()) {
            return known != null && updateUsage(known, state, nowNanos);
        }
        members.put(state.getVm(), new Member(state, nowNanos));
        lastKnownNanos.put(state.getVm(), nowNanos);
        addresses.add(state.getPeersAddress());
        addresses.addAll(state.getKnownAddressesList());
        return true;
    }

    /**
     * Merges an update that contains the usage of some teams and limits only; the rest of the VM's
     * state is kept.
     */
    private boolean updateUsage(Member known, VmState usage, long nowNanos) {
        if (!known.state().getIncarnation().equals(usage.getIncarnation())) {
            return false;
        }
        Map<String, TeamUse> teams = new LinkedHashMap<>();
        known.state().getTeamsList().forEach(use -> teams.put(use.getTeam(), use));
        usage.getTeamsList().forEach(use -> teams.put(use.getTeam(), use));
        Map<String, EndpointLimitUse> limits = new LinkedHashMap<>();
        long elapsedMillis = (nowNanos - known.receivedNanos()) / NANOS_PER_MILLI;
        for (EndpointLimitUse use : known.state().getLimitsList()) {
            limits.put(use.getEndpoint(), withAddedAge(use, elapsedMillis));
        }
        usage.getLimitsList().forEach(use -> limits.put(use.getEndpoint(), use));
        VmState merged =
                known.state().toBuilder()
                        .setSequence(usage.getSequence())
                        .clearTeams()
                        .addAllTeams(teams.values())
                        .clearLimits()
                        .addAllLimits(limits.values())
                        .build();
        members.put(usage.getVm(), new Member(merged, nowNanos));
        lastKnownNanos.put(usage.getVm(), nowNanos);
        return true;
    }

    /**
     * Returns a limit's usage from an earlier state update with the time since then added to its
     * age.
     */
    private static EndpointLimitUse withAddedAge(EndpointLimitUse use, long elapsedMillis) {
        return use.toBuilder().setSeenAgeMillis(use.getSeenAgeMillis() + elapsedMillis).build();
    }

    /** Adds an address at which a VM may listen. */
    public void addAddress(String address) {
        addresses.add(address);
    }

    /** Adds a VM that is registered with the platform, heard or not. */
    public void addRegistered(String vm, String address, long nowNanos) {
        addresses.add(address);
        if (!vm.equals(self)) {
            lastKnownNanos.putIfAbsent(vm, nowNanos);
        }
    }

    public Set<String> addresses() {
        return addresses;
    }

    /** Returns the VMs that are live. */
    public List<Member> live(long nowNanos) {
        int rounds = SILENT_TURNS * FleetGossip.roundsPerTurn(addresses.size()) + 1;
        return members.values().stream()
                .filter(
                        member ->
                                nowNanos - member.receivedNanos()
                                        < liveTimeoutNanos(member, rounds))
                .toList();
    }

    /**
     * Returns how long a VM is live after its last state update. An idle VM sends less often and
     * states the period of its rounds.
     */
    private static long liveTimeoutNanos(Member member, int rounds) {
        return Math.max(
                MINIMUM_LIVE_NANOS, rounds * member.state().getRoundMillis() * NANOS_PER_MILLI);
    }

    /** Returns the last known incarnation of a VM; empty if no state update of it was received. */
    public Optional<String> incarnation(String vm) {
        return Optional.ofNullable(members.get(vm)).map(member -> member.state().getIncarnation());
    }

    /**
     * Returns how many VMs the fleet may have, this VM included. A VM counts by its name, so once
     * if it is replaced, and also while it is not heard: it may be cut off from this VM only.
     */
    public int fleetSize(long nowNanos) {
        forget(nowNanos);
        return 1 + lastKnownNanos.size();
    }

    private void forget(long nowNanos) {
        lastKnownNanos.values().removeIf(known -> nowNanos - known >= FLEET_NANOS);
    }

    /** Returns the VMs that are not live, whether they are cut off or gone; none that stopped. */
    public Set<String> unheard(long nowNanos) {
        forget(nowNanos);
        Set<String> unheard = new HashSet<>(lastKnownNanos.keySet());
        live(nowNanos).forEach(member -> unheard.remove(member.state().getVm()));
        unheard.removeIf(vm -> hasStopped(vm, nowNanos));
        return unheard;
    }

    private boolean hasStopped(String vm, long nowNanos) {
        return Optional.ofNullable(members.get(vm))
                .filter(member -> member.state().getStopping())
                .filter(member -> nowNanos - member.receivedNanos() >= EXPIRY_NANOS)
                .isPresent();
    }

    /** Returns the VMs that are not live and may admit requests nevertheless. */
    public Set<String> missing(long nowNanos) {
        Set<String> missing = unheard(nowNanos);
        missing.removeAll(gone);
        return missing;
    }

    /** Sets the VMs that admit no requests any more, until a state update of them arrives. */
    public void setGone(Set<String> vms) {
        gone.clear();
        gone.addAll(vms);
    }

    /** Sets whether VMs that this one does not reach may have taken its share. */
    public void setShareLost(boolean lost) {
        shareLost = lost;
    }

    /**
     * Returns whether this VM reaches the majority of the VMs that may admit requests, itself
     * included. Of two halves, the one with the first VM by name is the majority.
     */
    public boolean isMajority(long nowNanos) {
        Set<String> missing = missing(nowNanos);
        List<Member> live = live(nowNanos);
        int reachable = 1 + live.size();
        if (reachable != missing.size()) {
            return reachable > missing.size();
        }
        String first = Collections.min(missing);
        return self.compareTo(first) < 0
                || live.stream().anyMatch(member -> member.state().getVm().compareTo(first) < 0);
    }

    /** Returns the VMs that have not expired, live or not. */
    public List<Member> notExpired(long nowNanos) {
        return members.values().stream()
                .filter(member -> nowNanos - member.receivedNanos() < EXPIRY_NANOS)
                .toList();
    }

    public Collection<Member> all() {
        return members.values();
    }

    /**
     * Returns the fraction of the VMs that may admit requests which is reachable; both numbers
     * include this VM. Before the first state update arrives, all VMs whose addresses are known
     * count as possibly admitting requests.
     */
    public double reachableFraction(long nowNanos) {
        int live = 1 + live(nowNanos).size();
        int admitting = live + missing(nowNanos).size();
        if (members.isEmpty()) {
            admitting = Math.max(admitting, addresses.size());
        }
        double fraction = (double) live / admitting;
        return shareLost ? LOST_SHARE_FRACTION * fraction : fraction;
    }
}
