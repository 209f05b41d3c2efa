package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Bounds the staleness of the configuration that this VM holds, and so decides whether the VM may
 * serve requests, admit from a rate share or give orders to load weights.
 *
 * <p>Without the bound, a VM that is cut off does not learn that a key was withdrawn, an endpoint
 * left or one of its shares moved to another VM, and continues with its old configuration. The
 * symptom is a withdrawn key that still works on one VM, or a rate that is admitted twice.
 *
 * <p>Two sources bound the staleness:
 *
 * <ul>
 *   <li>The platform, the central store of the configuration: a read sent at time s returns all
 *       changes committed before s.
 *   <li>A majority of the roster, the VMs that count for majorities: a change is announced as in
 *       force only when a majority holds it (see {@link Announcement}), and any two majorities have
 *       a VM in common. So a VM that holds all that a majority held at time s holds all changes in
 *       force at s. This works without the platform.
 * </ul>
 *
 * <p>VMs keep the configuration in memory only, so a restarted VM has lost the changes that it
 * confirmed before. It counts for a majority only once it is <i>caught up</i>: once it holds all
 * that the platform, or a majority made up of other caught-up VMs, held at some time after its
 * start. Invariant: while a change is in force, the number of caught-up VMs that lack it can only
 * decrease (DESIGN.md "Freshness" gives the argument).
 *
 * <p>Messages carry ages, never timestamps, and an age is counted from the moment the request was
 * sent. So the clocks of two VMs are never compared, and a delayed response only makes its content
 * look older than it is.
 *
 * <p>Not thread-safe: confined to the control thread. All times are nanoseconds of the local
 * monotonic clock.
 */
public final class Freshness {
    private final MemberIdentity self;
    private final long stalenessBoundNanos;
    private final long startNanos;
    private final Map<String, MemberStatus> members = new HashMap<>();
    private Set<String> roster = Set.of();
    private OptionalLong platformSyncedAsOf = OptionalLong.empty();
    private boolean caughtUp;

    /**
     * @param self this VM
     * @param stalenessBoundNanos the staleness bound: the age of its configuration beyond which the
     *     VM stops serving
     * @param startNanos when this VM started, with an empty configuration
     */
    public Freshness(MemberIdentity self, long stalenessBoundNanos, long startNanos) {
        this.self = self;
        this.stalenessBoundNanos = stalenessBoundNanos;
        this.startNanos = startNanos;
    }

    public long stalenessBoundNanos() {
        return stalenessBoundNanos;
    }

    /** Returns whether this VM is caught up, and so counts for a majority. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Sets the VMs that count for a majority: those in the roster object that is in force on this
     * VM.
     */
    public void setRoster(Collection<String> vms) {
        roster = Set.copyOf(vms);
        members.keySet().retainAll(roster);
    }

    public Set<String> roster() {
        return roster;
    }

    /** Returns the number of VMs that make a majority of the roster. */
    public int majority() {
        return roster.size() / 2 + 1;
    }

    /** Records that this VM holds the result of a platform read that was sent at the given time. */
    public void recordPlatformRead(long sentNanos) {
        if (platformSyncedAsOf.isEmpty() || platformSyncedAsOf.getAsLong() < sentNanos) {
            platformSyncedAsOf = OptionalLong.of(sentNanos);
        }
        updateCaughtUp();
    }

    /**
     * Merges a peer's report into the status of the members.
     *
     * <p>The caller must first have installed every object of which the peer holds a newer version.
     * Otherwise the ages would cover changes that this VM does not hold.
     *
     * @param report the peer's response to a probe
     * @param sentNanos when the probe was sent
     */
    public void recordReport(ProbeReport report, long sentNanos) {
        OptionalLong peerSyncedAsOf =
                report.caughtUp() ? OptionalLong.of(sentNanos) : OptionalLong.empty();
        recordMember(report.peer(), sentNanos, peerSyncedAsOf, report.draining());
        for (ProbeReport.MemberAge member : report.members()) {
            OptionalLong age = member.syncedAgeNanos();
            OptionalLong syncedAsOf =
                    age.isPresent()
                            ? OptionalLong.of(sentNanos - age.getAsLong())
                            : OptionalLong.empty();
            long lastSeen = sentNanos - member.lastSeenAgeNanos();
            recordMember(member.identity(), lastSeen, syncedAsOf, member.draining());
        }
        report.platformAgeNanos().ifPresent(age -> recordPlatformRead(sentNanos - age));
        updateCaughtUp();
    }

    private void recordMember(
            MemberIdentity identity,
            long lastSeenNanos,
            OptionalLong syncedAsOf,
            boolean draining) {
        if (identity.vm().equals(self.vm()) || !roster.contains(identity.vm())) {
            return;
        }
        MemberStatus current = members.get(identity.vm());
        if (current == null) {
            members.put(
                    identity.vm(), new MemberStatus(identity, lastSeenNanos, syncedAsOf, draining));
            return;
        }
        boolean newer = lastSeenNanos > current.lastSeenNanos();
        members.put(
                identity.vm(),
                new MemberStatus(
                        newer ? identity : current.identity(),
                        Math.max(lastSeenNanos, current.lastSeenNanos()),
                        later(syncedAsOf, current.syncedAsOfNanos()),
                        newer ? draining : current.draining()));
    }

    private static OptionalLong later(OptionalLong first, OptionalLong second) {
        if (first.isEmpty()) {
            return second;
        }
        return second.isEmpty() || first.getAsLong() > second.getAsLong() ? first : second;
    }

    private void updateCaughtUp() {
        if (caughtUp) {
            return;
        }
        boolean caughtUpFromPlatform =
                platformSyncedAsOf.isPresent() && platformSyncedAsOf.getAsLong() >= startNanos;
        OptionalLong peerMajoritySyncedAsOf = majoritySyncedAsOf(memberSyncTimes());
        boolean caughtUpFromPeers =
                peerMajoritySyncedAsOf.isPresent()
                        && peerMajoritySyncedAsOf.getAsLong() >= startNanos;
        caughtUp = caughtUpFromPlatform || caughtUpFromPeers;
    }

    /**
     * Returns the time as of which this VM is synchronized: it holds every change that was in force
     * then. Empty if there is no such time.
     */
    public OptionalLong syncedAsOf(long nowNanos) {
        List<Long> syncTimes = memberSyncTimes();
        if (caughtUp && roster.contains(self.vm())) {
            syncTimes.add(nowNanos);
        }
        return later(platformSyncedAsOf, majoritySyncedAsOf(syncTimes));
    }

    private List<Long> memberSyncTimes() {
        List<Long> syncTimes = new ArrayList<>();
        for (MemberStatus member : members.values()) {
            member.syncedAsOfNanos().ifPresent(syncTimes::add);
        }
        return syncTimes;
    }

    private OptionalLong majoritySyncedAsOf(List<Long> syncTimes) {
        if (roster.isEmpty() || syncTimes.size() < majority()) {
            return OptionalLong.empty();
        }
        syncTimes.sort(Comparator.reverseOrder());
        return OptionalLong.of(syncTimes.get(majority() - 1));
    }

    /** Returns whether this VM is within the staleness bound, and so may serve now. */
    public boolean isFresh(long nowNanos) {
        OptionalLong asOf = syncedAsOf(nowNanos);
        return asOf.isPresent() && nowNanos - asOf.getAsLong() <= stalenessBoundNanos;
    }

    /**
     * Returns the maximum age of the configuration that this VM holds; empty if the VM was never
     * synchronized.
     */
    public OptionalLong ageNanos(long nowNanos) {
        OptionalLong asOf = syncedAsOf(nowNanos);
        return asOf.isPresent()
                ? OptionalLong.of(Math.max(0, nowNanos - asOf.getAsLong()))
                : OptionalLong.empty();
    }

    /**
     * Returns how long ago the platform confirmed this VM's configuration as current, either to
     * this VM or to a peer that it is synchronized with; empty if it never did.
     */
    public OptionalLong platformAgeNanos(long nowNanos) {
        return platformSyncedAsOf.isPresent()
                ? OptionalLong.of(nowNanos - platformSyncedAsOf.getAsLong())
                : OptionalLong.empty();
    }

    /** Returns the status of another VM; empty if nothing has been received about it. */
    public Optional<MemberStatus> member(String vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /**
     * Returns whether the VM was last seen, by this VM or according to a peer's report, within the
     * given time.
     */
    public boolean seenWithin(String vm, long nowNanos, long withinNanos) {
        return vm.equals(self.vm())
                || member(vm)
                        .filter(status -> nowNanos - status.lastSeenNanos() <= withinNanos)
                        .isPresent();
    }

    /**
     * Returns whether an incarnation is to be treated as dead: its VM runs another incarnation, or
     * the VM was not seen for the given time.
     *
     * <p>Two conditions keep a living VM from being treated as dead. A VM that has just started has
     * not seen any other VM yet, so it treats none as dead until it has run for the given time;
     * without this, each restarted VM would acquire the claims of all others. A VM that is cut off
     * sees no other VM, so it treats none as dead while it does not see a majority of the roster.
     */
    public boolean isDead(MemberIdentity identity, long nowNanos, long deadAfterNanos) {
        boolean hasRunLongEnough = nowNanos - startNanos >= deadAfterNanos;
        if (identity.equals(self) || !hasRunLongEnough) {
            return false;
        }
        if (!reachesMajority(nowNanos, deadAfterNanos)) {
            return false;
        }
        Optional<MemberStatus> lastStatus = member(identity.vm());
        boolean replaced =
                identity.vm().equals(self.vm())
                        || lastStatus
                                .filter(status -> !status.identity().equals(identity))
                                .isPresent();
        return replaced || !seenWithin(identity.vm(), nowNanos, deadAfterNanos);
    }

    private boolean reachesMajority(long nowNanos, long withinNanos) {
        long seen = roster.stream().filter(vm -> seenWithin(vm, nowNanos, withinNanos)).count();
        return seen >= majority();
    }

    /** Returns the index of all incarnations known to this VM, including its own. */
    public MemberIndex memberIndex() {
        List<MemberIdentity> known = new ArrayList<>();
        known.add(self);
        members.values().forEach(member -> known.add(member.identity()));
        return MemberIndex.of(known);
    }

    /** Returns the report with which this VM responds to a probe. */
    public ProbeReport report(long nowNanos, boolean draining) {
        List<ProbeReport.MemberAge> ages = new ArrayList<>();
        for (MemberStatus member : members.values()) {
            OptionalLong syncedAsOf = member.syncedAsOfNanos();
            ages.add(
                    new ProbeReport.MemberAge(
                            member.identity(),
                            nowNanos - member.lastSeenNanos(),
                            syncedAsOf.isPresent()
                                    ? OptionalLong.of(nowNanos - syncedAsOf.getAsLong())
                                    : OptionalLong.empty(),
                            member.draining()));
        }
        return new ProbeReport(self, caughtUp, draining, platformAgeNanos(nowNanos), ages);
    }
}
