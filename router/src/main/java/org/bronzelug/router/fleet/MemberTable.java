package org.bronzelug.router.fleet;

import java.util.Collection;
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
 * The other VMs of the fleet, as heard.
 *
 * <p>Invariant: of one incarnation only a later state replaces an earlier one, so a datagram that
 * was held up changes nothing. Confined to the control thread.
 */
public final class MemberTable {
    /**
     * In a fleet that is addressed whole in each round of 150 ms: six datagrams in a row are lost,
     * or their sender is silent.
     */
    private static final long LIVE_NANOS = 1_000_000_000L;

    /** In a larger fleet: so many turns without a datagram, and a round's delay. */
    private static final int SILENT_TURNS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A VM silent for so long is not counted as one that may admit requests unheard. */
    private static final long GONE_NANOS = 10_000_000_000L;

    private final String self;
    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> addresses = new HashSet<>();

    public MemberTable(String self) {
        this.self = self;
    }

    /**
     * Takes in what a VM says.
     *
     * @return whether it is newer than what was known
     */
    public boolean update(VmState state, long nowNanos) {
        if (state.getVm().equals(self)) {
            return false;
        }
        Member known = members.get(state.getVm());
        boolean older =
                known != null
                        && known.state().getIncarnation().equals(state.getIncarnation())
                        && known.state().getSequence() >= state.getSequence();
        if (older) {
            return false;
        }
        if (state.getCountsOnly()) {
            return known != null && hearCounts(known, state, nowNanos);
        }
        members.put(state.getVm(), new Member(state, nowNanos));
        addresses.add(state.getPeersAddress());
        addresses.addAll(state.getKnownAddressesList());
        return true;
    }

    /** Takes in some teams' and limits' counts; all else that the VM said stays as it was. */
    private boolean hearCounts(Member known, VmState counts, long nowNanos) {
        if (!known.state().getIncarnation().equals(counts.getIncarnation())) {
            return false;
        }
        Map<String, TeamUse> teams = new LinkedHashMap<>();
        known.state().getTeamsList().forEach(use -> teams.put(use.getTeam(), use));
        counts.getTeamsList().forEach(use -> teams.put(use.getTeam(), use));
        Map<String, EndpointLimitUse> limits = new LinkedHashMap<>();
        long elapsedMillis = (nowNanos - known.receivedNanos()) / NANOS_PER_MILLI;
        for (EndpointLimitUse use : known.state().getLimitsList()) {
            limits.put(use.getEndpoint(), aged(use, elapsedMillis));
        }
        counts.getLimitsList().forEach(use -> limits.put(use.getEndpoint(), use));
        VmState merged =
                known.state().toBuilder()
                        .setSequence(counts.getSequence())
                        .clearTeams()
                        .addAllTeams(teams.values())
                        .clearLimits()
                        .addAllLimits(limits.values())
                        .build();
        members.put(counts.getVm(), new Member(merged, nowNanos));
        return true;
    }

    /** What was said earlier was seen as much earlier. */
    private static EndpointLimitUse aged(EndpointLimitUse use, long elapsedMillis) {
        return use.toBuilder().setSeenAgeMillis(use.getSeenAgeMillis() + elapsedMillis).build();
    }

    /** An address at which a VM may listen. */
    public void addAddress(String address) {
        addresses.add(address);
    }

    public Set<String> addresses() {
        return addresses;
    }

    /** The VMs heard lately. */
    public List<Member> live(long nowNanos) {
        int rounds = SILENT_TURNS * FleetGossip.roundsPerTurn(addresses.size()) + 1;
        return members.values().stream()
                .filter(member -> nowNanos - member.receivedNanos() < liveNanos(member, rounds))
                .toList();
    }

    /** A VM that has little to tell sends seldom, and says how seldom. */
    private static long liveNanos(Member member, int rounds) {
        return Math.max(LIVE_NANOS, rounds * member.state().getRoundMillis() * NANOS_PER_MILLI);
    }

    /** The incarnation of a VM that was heard last; empty where none was. */
    public Optional<String> incarnation(String vm) {
        return Optional.ofNullable(members.get(vm)).map(member -> member.state().getIncarnation());
    }

    /** All VMs heard within the time after which a silent one counts as gone. */
    public List<Member> notExpired(long nowNanos) {
        return members.values().stream()
                .filter(member -> nowNanos - member.receivedNanos() < GONE_NANOS)
                .toList();
    }

    public Collection<Member> all() {
        return members.values();
    }

    /**
     * The part of the VMs that may admit requests which is heard, this one included. A VM that has
     * heard nobody yet reckons with all whose addresses it knows.
     */
    public double reachableFraction(long nowNanos) {
        int live = 1 + live(nowNanos).size();
        int possible =
                members.isEmpty() ? Math.max(1, addresses.size()) : 1 + notExpired(nowNanos).size();
        return (double) live / possible;
    }
}
