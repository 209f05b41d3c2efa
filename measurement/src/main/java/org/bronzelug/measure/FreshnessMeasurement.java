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
 * How old the VMs' knowledge gets while the platform is down, and what the probes cost, by the
 * shipped decisions over virtual time. Not thread-safe.
 */
final class FreshnessMeasurement {
    private static final long MILLI = 1_000_000;
    private static final long LIMIT = 2_000 * MILLI;
    private static final long OUTAGE_BEGINS = 1_000 * MILLI;
    private static final long COUNTED_FROM = 6_000 * MILLI;
    private static final long END = 11_000 * MILLI;
    private static final int PROBES_A_ROUND = 2;
    private static final double LOSS = 0.05;
    private static final int[] VMS = {7, 35, 350};
    private static final long[] PERIODS_MILLIS = {200, 350};
    private static final int HEADER_BYTES = 60;

    private final Random random;
    private final long periodNanos;
    private final boolean split;
    private final List<String> names = new ArrayList<>();
    private final List<Freshness> vms = new ArrayList<>();
    private final PriorityQueue<Round> rounds =
            new PriorityQueue<>(Comparator.comparingLong(Round::at));
    private final Histogram ages = new Histogram(60_000, 3);
    private long stale;
    private long sampled;
    private double answerBytes;

    private FreshnessMeasurement(int count, long periodMillis, boolean split, long seed) {
        this.split = split;
        this.random = new Random(seed);
        this.periodNanos = periodMillis * MILLI;
        Set<String> roster = new TreeSet<>();
        for (int index = 0; index < count; index++) {
            roster.add("vm-" + index);
        }
        names.addAll(roster);
        for (String vm : roster) {
            Freshness freshness = new Freshness(new MemberIdentity(vm, "life"), LIMIT, 0);
            freshness.setRoster(roster);
            freshness.recordPlatform(OUTAGE_BEGINS);
            vms.add(freshness);
            rounds.add(new Round((long) (random.nextDouble() * periodNanos), vms.size() - 1));
        }
    }

    /** When a VM probes next. */
    private record Round(long at, int vm) {}

    /** Prints a row for each number of VMs and period. */
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
        out.println("a third of the VMs cut off besides; the others' figures:");
        for (long period : PERIODS_MILLIS) {
            row(out, 350, period, true, seeds);
        }
    }

    private static void row(PrintStream out, int count, long period, boolean split, int seeds) {
        List<Double> middle = new ArrayList<>();
        List<Double> tail = new ArrayList<>();
        List<Double> stale = new ArrayList<>();
        List<Double> bytes = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            FreshnessMeasurement run = new FreshnessMeasurement(count, period, split, 500 + seed);
            run.run();
            middle.add((double) run.ages.getValueAtPercentile(50));
            tail.add((double) run.ages.getValueAtPercentile(99.9));
            stale.add((double) run.stale / run.sampled);
            double seconds = (END - COUNTED_FROM) / 1e9;
            bytes.add(2 * run.answerBytes / count / seconds / 1_000);
        }
        out.printf(
                "%-6d %-10d %-26s %-26s %-22s %s%n",
                count,
                period,
                Spread.of(middle),
                Spread.of(tail),
                Spread.of(stale),
                Spread.of(bytes));
    }

    private void run() {
        while (rounds.peek().at < END) {
            Round round = rounds.poll();
            targets(round).forEach(target -> probe(round.vm, target, round.at));
            if (round.at >= COUNTED_FROM && !isCutOff(round.vm)) {
                sample(round);
            }
            rounds.add(new Round(round.at + periodNanos, round.vm));
        }
    }

    private boolean isCutOff(int vm) {
        return split && vm % 3 == 0;
    }

    private List<Integer> targets(Round round) {
        Freshness own = vms.get(round.vm);
        List<Integer> heard = new ArrayList<>();
        List<Integer> unheard = new ArrayList<>();
        for (int vm = 0; vm < vms.size(); vm++) {
            boolean live = own.seenWithin(names.get(vm), round.at, ProbeTargets.REMEMBERED_NANOS);
            if (vm != round.vm) {
                (live ? heard : unheard).add(vm);
            }
        }
        return ProbeTargets.choose(heard, unheard, PROBES_A_ROUND, random);
    }

    private void probe(int from, int to, long now) {
        if (isCutOff(to) != isCutOff(from) || random.nextDouble() < LOSS) {
            return;
        }
        Freshness asking = vms.get(from);
        Freshness answering = vms.get(to);
        MemberIndex roll = answering.roll();
        ProbeReport report = answering.report(now, false);
        PackedAges packed = PackedAges.pack(roll, report.members());
        List<ProbeReport.MemberAge> received = new ArrayList<>(packed.named());
        received.addAll(PackedAges.unpack(roll, packed.ages()));
        OptionalLong platformAge = report.platformAgeNanos();
        asking.recordReport(
                new ProbeReport(report.peer(), report.settled(), false, platformAge, received),
                now);
        if (now >= COUNTED_FROM) {
            answerBytes += HEADER_BYTES + packed.ages().length + 36.0 * packed.named().size();
        }
    }

    private void sample(Round round) {
        OptionalLong age = vms.get(round.vm).ageNanos(round.at);
        ages.recordValue(Math.min(50_000, age.orElse(LIMIT * 10) / MILLI));
        sampled++;
        if (!vms.get(round.vm).isFresh(round.at)) {
            stale++;
        }
    }
}
