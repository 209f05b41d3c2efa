package org.bronzelug.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;
import org.bronzelug.core.membership.Freshness;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.core.membership.MemberIndex;
import org.bronzelug.core.membership.PackedAges;
import org.bronzelug.core.membership.ProbeReport;
import org.bronzelug.core.membership.ProbeTargets;

/**
 * Simulates a platform outage in virtual time and measures how stale the VMs' knowledge of the
 * configuration becomes and how much bandwidth the probes use. Runs the production classes for
 * freshness and probe selection. Not thread-safe.
 */
final class FreshnessMeasurement {
    private static final long MILLI = 1_000_000;
    private static final long MAXIMUM_AGE = 2_000 * MILLI;
    private static final long OUTAGE_START = 1_000 * MILLI;
    private static final long MEASURED_FROM = 6_000 * MILLI;
    private static final long END = 11_000 * MILLI;
    private static final int PROBES_PER_ROUND = 2;
    private static final double LOSS_RATE = 0.05;
    private static final int[] VMS = {7, 35, 350};
    private static final long[] PERIODS_MILLIS = {200, 350};
    private static final int HEADER_BYTES = 60;

    private final Random random;
    private final long periodNanos;
    private final boolean partitioned;
    private final List<String> names = new ArrayList<>();
    private final List<Freshness> vms = new ArrayList<>();
    private final PriorityQueue<Round> rounds =
            new PriorityQueue<>(Comparator.comparingLong(Round::at));
    private final Histogram ages = new Histogram(60_000, 3);
    private long staleSamples;
    private long samples;
    private double responseBytes;

    private FreshnessMeasurement(int count, long periodMillis, boolean partitioned, long seed) {
        this.partitioned = partitioned;
        this.random = new Random(seed);
        this.periodNanos = periodMillis * MILLI;
        Set<String> roster = new TreeSet<>();
        for (int index = 0; index < count; index++) {
            roster.add("vm-" + index);
        }
        names.addAll(roster);
        for (String vm : roster) {
            Freshness freshness = new Freshness(new MemberIdentity(vm, "life"), MAXIMUM_AGE, 0);
            freshness.setRoster(roster);
            freshness.recordPlatformRead(OUTAGE_START);
            vms.add(freshness);
            rounds.add(new Round((long) (random.nextDouble() * periodNanos), vms.size() - 1));
        }
    }

    /** The next probe round of a VM. */
    private record Round(long at, int vm) {}

    /** Prints one row for each combination of fleet size and probe period. */
    static void run(PrintStream out, int seeds) {
        out.printf(
                "%-6s %-10s %-26s %-26s %-22s %s%n",
                "VMs",
                "period ms",
                "age p50 ms",
                "age p99.9 ms",
                "not fresh, of all",
                "KB/s both ways");
        for (int count : VMS) {
            for (long period : PERIODS_MILLIS) {
                row(out, count, period, false, seeds);
            }
        }
        out.println("with a third of the VMs partitioned off; figures of the remaining VMs:");
        for (long period : PERIODS_MILLIS) {
            row(out, 350, period, true, seeds);
        }
    }

    private static void row(
            PrintStream out, int count, long period, boolean partitioned, int seeds) {
        List<Double> medians = new ArrayList<>();
        List<Double> tails = new ArrayList<>();
        List<Double> staleFractions = new ArrayList<>();
        List<Double> bytes = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            FreshnessMeasurement run =
                    new FreshnessMeasurement(count, period, partitioned, 500 + seed);
            run.run();
            medians.add((double) run.ages.getValueAtPercentile(50));
            tails.add((double) run.ages.getValueAtPercentile(99.9));
            staleFractions.add((double) run.staleSamples / run.samples);
            double seconds = (END - MEASURED_FROM) / 1e9;
            bytes.add(2 * run.responseBytes / count / seconds / 1_000);
        }
        out.printf(
                "%-6d %-10d %-26s %-26s %-22s %s%n",
                count,
                period,
                Spread.of(medians),
                Spread.of(tails),
                Spread.of(staleFractions),
                Spread.of(bytes));
    }

    private void run() {
        while (rounds.peek().at < END) {
            Round round = rounds.poll();
            targets(round).forEach(target -> probe(round.vm, target, round.at));
            if (round.at >= MEASURED_FROM && !isPartitioned(round.vm)) {
                sample(round);
            }
            rounds.add(new Round(round.at + periodNanos, round.vm));
        }
    }

    private boolean isPartitioned(int vm) {
        return partitioned && vm % 3 == 0;
    }

    private List<Integer> targets(Round round) {
        Freshness self = vms.get(round.vm);
        List<Integer> reachable = new ArrayList<>();
        List<Integer> unreachable = new ArrayList<>();
        for (int vm = 0; vm < vms.size(); vm++) {
            boolean recentlySeen =
                    self.seenWithin(names.get(vm), round.at, ProbeTargets.RECENTLY_SEEN_NANOS);
            if (vm != round.vm) {
                (recentlySeen ? reachable : unreachable).add(vm);
            }
        }
        return ProbeTargets.choose(reachable, unreachable, PROBES_PER_ROUND, random);
    }

    private void probe(int from, int to, long now) {
        if (isPartitioned(to) != isPartitioned(from) || random.nextDouble() < LOSS_RATE) {
            return;
        }
        Freshness prober = vms.get(from);
        Freshness responder = vms.get(to);
        MemberIndex memberIndex = responder.memberIndex();
        ProbeReport report = responder.report(now, false);
        PackedAges packed = PackedAges.pack(memberIndex, report.members());
        List<ProbeReport.MemberAge> received = new ArrayList<>(packed.individualAges());
        received.addAll(PackedAges.unpack(memberIndex, packed.ages()));
        OptionalLong platformAge = report.platformAgeNanos();
        prober.recordReport(
                new ProbeReport(report.peer(), report.caughtUp(), false, platformAge, received),
                now);
        if (now >= MEASURED_FROM) {
            responseBytes +=
                    HEADER_BYTES + packed.ages().length + 36.0 * packed.individualAges().size();
        }
    }

    private void sample(Round round) {
        OptionalLong age = vms.get(round.vm).ageNanos(round.at);
        ages.recordValue(Math.min(50_000, age.orElse(MAXIMUM_AGE * 10) / MILLI));
        samples++;
        if (!vms.get(round.vm).isFresh(round.at)) {
            staleSamples++;
        }
    }
}
