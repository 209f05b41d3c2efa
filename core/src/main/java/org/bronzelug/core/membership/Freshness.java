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
 * Decides how old this VM's knowledge of the configuration can be at most, and with it whether the
 * VM may serve, use a rate share or give orders.
 *
 * <p>The failure it guards against: a VM that is cut off cannot hear that a key was withdrawn, an
 * endpoint left or its share moved, and goes on as before. The symptom is a refused key that works
 * on one VM only, or a rate admitted twice. Two sources bound the age. The platform: a read sent at
 * time s shows all commits up to s. A majority of the roster: a change is announced as in force
 * only when a majority holds it, so a VM that covers what a majority knew at s covers all changes
 * in force at s. Any two majorities share a VM; that is why this is enough without the platform.
 *
 * <p>VMs keep nothing, so a restarted one has forgotten what it confirmed before. It counts for a
 * majority only once it is settled: it covers what the platform, or a majority of settled others,
 * knew after its start. Then the settled VMs that don't know a change in force can only become
 * fewer (DESIGN.md "Freshness" has the argument).
 *
 * <p>Ages travel, never times, and an age is counted from the moment the question was sent; so no
 * clock is compared with another and a delayed answer only looks older than it is.
 *
 * <p>Not thread-safe: owned by the control thread. Times are the local monotonic clock's.
 */
public final class Freshness {
    private final MemberIdentity self;
    private final long limitNanos;
    private final long startNanos;
    private final Map<String, MemberStatus> members = new HashMap<>();
    private Set<String> roster = Set.of();
    private OptionalLong platformAsOf = OptionalLong.empty();
    private boolean settled;

    /**
     * @param self this VM
     * @param limitNanos the age beyond which the VM no longer serves
     * @param startNanos when this VM started, knowing nothing
     */
    public Freshness(MemberIdentity self, long limitNanos, long startNanos) {
        this.self = self;
        this.limitNanos = limitNanos;
        this.startNanos = startNanos;
    }

    public long limitNanos() {
        return limitNanos;
    }

    /** Whether this VM counts for a majority. */
    public boolean isCaughtUp() {
        return settled;
    }

    /** Sets the VMs whose majority counts: those of the roster object in force here. */
    public void setRoster(Collection<String> vms) {
        roster = Set.copyOf(vms);
        members.keySet().retainAll(roster);
    }

    public Set<String> roster() {
        return roster;
    }

    /** The number of VMs that make a majority of the roster. */
    public int majority() {
        return roster.size() / 2 + 1;
    }

    /** Notes that a platform read sent at this time is covered by the configuration held here. */
    public void recordPlatform(long sentNanos) {
        if (platformAsOf.isEmpty() || platformAsOf.getAsLong() < sentNanos) {
            platformAsOf = OptionalLong.of(sentNanos);
        }
        settle();
    }

    /**
     * Takes in a peer's report. The caller must first have installed all that the peer's
     * configuration has newer; otherwise the ages would claim knowledge that is not here.
     *
     * @param report the peer's answer
     * @param sentNanos when the probe was sent
     */
    public void recordReport(ProbeReport report, long sentNanos) {
        OptionalLong peerCovered =
                report.settled() ? OptionalLong.of(sentNanos) : OptionalLong.empty();
        recordMember(report.peer(), sentNanos, peerCovered, report.draining());
        for (ProbeReport.MemberAge member : report.members()) {
            OptionalLong age = member.syncedAgeNanos();
            OptionalLong covered =
                    age.isPresent()
                            ? OptionalLong.of(sentNanos - age.getAsLong())
                            : OptionalLong.empty();
            long heard = sentNanos - member.lastSeenAgeNanos();
            recordMember(member.identity(), heard, covered, member.draining());
        }
        report.platformAgeNanos().ifPresent(age -> recordPlatform(sentNanos - age));
        settle();
    }

    private void recordMember(
            MemberIdentity identity, long receivedNanos, OptionalLong covered, boolean draining) {
        if (identity.vm().equals(self.vm()) || !roster.contains(identity.vm())) {
            return;
        }
        MemberStatus held = members.get(identity.vm());
        if (held == null) {
            members.put(
                    identity.vm(), new MemberStatus(identity, receivedNanos, covered, draining));
            return;
        }
        boolean newer = receivedNanos > held.lastSeenNanos();
        members.put(
                identity.vm(),
                new MemberStatus(
                        newer ? identity : held.identity(),
                        Math.max(receivedNanos, held.lastSeenNanos()),
                        later(covered, held.syncedAsOfNanos()),
                        newer ? draining : held.draining()));
    }

    private static OptionalLong later(OptionalLong one, OptionalLong other) {
        if (one.isEmpty()) {
            return other;
        }
        return other.isEmpty() || one.getAsLong() > other.getAsLong() ? one : other;
    }

    private void settle() {
        if (settled) {
            return;
        }
        boolean byPlatform = platformAsOf.isPresent() && platformAsOf.getAsLong() >= startNanos;
        OptionalLong byOthers = majorityAsOf(coveredTimes());
        boolean byMajority = byOthers.isPresent() && byOthers.getAsLong() >= startNanos;
        settled = byPlatform || byMajority;
    }

    /** Everything in force at the returned time is known here; empty where nothing is known. */
    public OptionalLong freshAsOf(long nowNanos) {
        List<Long> times = coveredTimes();
        if (settled && roster.contains(self.vm())) {
            times.add(nowNanos);
        }
        return later(platformAsOf, majorityAsOf(times));
    }

    private List<Long> coveredTimes() {
        List<Long> times = new ArrayList<>();
        for (MemberStatus member : members.values()) {
            member.syncedAsOfNanos().ifPresent(times::add);
        }
        return times;
    }

    private OptionalLong majorityAsOf(List<Long> times) {
        if (roster.isEmpty() || times.size() < majority()) {
            return OptionalLong.empty();
        }
        times.sort(Comparator.reverseOrder());
        return OptionalLong.of(times.get(majority() - 1));
    }

    /** Whether this VM may serve now. */
    public boolean isFresh(long nowNanos) {
        OptionalLong asOf = freshAsOf(nowNanos);
        return asOf.isPresent() && nowNanos - asOf.getAsLong() <= limitNanos;
    }

    /** How old this VM's knowledge may be; empty where it has none. */
    public OptionalLong ageNanos(long nowNanos) {
        OptionalLong asOf = freshAsOf(nowNanos);
        return asOf.isPresent()
                ? OptionalLong.of(Math.max(0, nowNanos - asOf.getAsLong()))
                : OptionalLong.empty();
    }

    /** How long ago the platform confirmed this configuration; empty where it never did. */
    public OptionalLong platformAgeNanos(long nowNanos) {
        return platformAsOf.isPresent()
                ? OptionalLong.of(nowNanos - platformAsOf.getAsLong())
                : OptionalLong.empty();
    }

    /** What is known of a VM other than this one. */
    public Optional<MemberStatus> member(String vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /** Whether the VM was heard of, by this VM or through another, within the time given. */
    public boolean seenWithin(String vm, long nowNanos, long withinNanos) {
        return vm.equals(self.vm())
                || member(vm)
                        .filter(known -> nowNanos - known.lastSeenNanos() <= withinNanos)
                        .isPresent();
    }

    /**
     * Whether an incarnation may be taken for gone: replaced, or not heard of for so long.
     *
     * <p>Two things guard against taking a living VM for gone. One that started lately has heard of
     * nobody yet, so it judges nobody before it has listened for the time given; without that, each
     * restart takes the claims of all others over. And one that is cut off hears nobody, so it
     * judges only while it hears a majority.
     */
    public boolean isDead(MemberIdentity identity, long nowNanos, long deadAfterNanos) {
        boolean listenedLongEnough = nowNanos - startNanos >= deadAfterNanos;
        if (identity.equals(self) || !listenedLongEnough) {
            return false;
        }
        if (!reachesMajority(nowNanos, deadAfterNanos)) {
            return false;
        }
        Optional<MemberStatus> known = member(identity.vm());
        boolean replaced =
                identity.vm().equals(self.vm())
                        || known.filter(held -> !held.identity().equals(identity)).isPresent();
        return replaced || !seenWithin(identity.vm(), nowNanos, deadAfterNanos);
    }

    private boolean reachesMajority(long nowNanos, long withinNanos) {
        long heard = roster.stream().filter(vm -> seenWithin(vm, nowNanos, withinNanos)).count();
        return heard >= majority();
    }

    /** The incarnations known here, this VM's own included. */
    public MemberIndex roll() {
        List<MemberIdentity> known = new ArrayList<>();
        known.add(self);
        members.values().forEach(member -> known.add(member.identity()));
        return MemberIndex.of(known);
    }

    /** This VM's own report, to answer a probe with. */
    public ProbeReport report(long nowNanos, boolean draining) {
        List<ProbeReport.MemberAge> ages = new ArrayList<>();
        for (MemberStatus member : members.values()) {
            OptionalLong covered = member.syncedAsOfNanos();
            ages.add(
                    new ProbeReport.MemberAge(
                            member.identity(),
                            nowNanos - member.lastSeenNanos(),
                            covered.isPresent()
                                    ? OptionalLong.of(nowNanos - covered.getAsLong())
                                    : OptionalLong.empty(),
                            member.draining()));
        }
        return new ProbeReport(self, settled, draining, platformAgeNanos(nowNanos), ages);
    }
}
