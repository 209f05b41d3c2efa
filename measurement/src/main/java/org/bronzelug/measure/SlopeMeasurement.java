package org.bronzelug.measure;

import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.IntFunction;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.bronzelug.api.TeamObject;
import org.bronzelug.api.peer.MemberAge;
import org.bronzelug.api.peer.ObjectVersion;
import org.bronzelug.api.peer.ProbeAnswer;
import org.bronzelug.core.action.ActionId;
import org.bronzelug.core.action.ActionLedger;
import org.bronzelug.core.action.ActionOutcome;
import org.bronzelug.core.configuration.ConfigurationState;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.limit.TokenBucket;
import org.bronzelug.core.membership.Freshness;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.core.membership.MemberIndex;
import org.bronzelug.core.membership.PackedAges;
import org.bronzelug.core.membership.ProbeReport;
import org.bronzelug.core.placement.CacheEstimate;
import org.bronzelug.core.placement.PlacementPolicy;
import org.bronzelug.core.placement.PlacementSettings;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.RunnerLoad;

/**
 * Measures what one more block, peer, team, runner or record costs, at three sizes each.
 *
 * <p>Bytes are of the live heap after collection, times the median of repeated runs on one thread.
 */
final class SlopeMeasurement {
    private static final int REPEATS = 15;
    private static final long MILLI = 1_000_000;

    private final PrintStream out;

    SlopeMeasurement(PrintStream out) {
        this.out = out;
    }

    void run() {
        measureBeliefs();
        measureEvents();
        measurePeers();
        measureConfiguration();
        measureRequests();
    }

    private void measureBeliefs() {
        bytes(
                "bytes: cached prefix believed in",
                sizes(20_000, 100_000, 300_000),
                this::cacheEstimate);
        nanos(
                "ns: prefixes recorded, all of them",
                sizes(5_000, 20_000, 80_000),
                n -> {
                    List<PrefixChain> chains = chains(n);
                    CacheEstimate cacheEstimate = cacheEstimate(n);
                    return time(
                            () ->
                                    chains.forEach(
                                            each -> cacheEstimate.recordCached("r", "i", each, 1)),
                            1);
                });
    }

    /** What reading the runners' cache events would cost: the daemon does not, docs/CAPACITY.md. */
    private void measureEvents() {
        nanos(
                "ns: cache events applied, a block stored and evicted again",
                sizes(5_000, 20_000, 80_000),
                n -> {
                    List<PrefixChain> chains = chains(n);
                    CacheEstimate cacheEstimate = cacheEstimate(n);
                    return time(() -> chains.forEach(each -> applyEvents(cacheEstimate, each)), 1);
                });
    }

    private static void applyEvents(CacheEstimate cacheEstimate, PrefixChain chain) {
        cacheEstimate.recordCached("r", "i", chain, 1);
        cacheEstimate.recordEvicted("r", "i", chain.root().hash());
    }

    private void measurePeers() {
        bytes("bytes: peer known", sizes(7, 35, 350), this::freshness);
        nanos(
                "ns: report of all peers taken in",
                sizes(7, 35, 350),
                n -> {
                    Freshness freshness = freshness(n);
                    ProbeReport report = report(n, 2_000 * MILLI);
                    return time(() -> freshness.recordReport(report, 3_000 * MILLI), 200);
                });
        nanos(
                "ns: report of all peers made",
                sizes(7, 35, 350),
                n -> {
                    Freshness freshness = freshness(n);
                    return time(() -> freshness.report(3_000 * MILLI, false), 200);
                });
        nanos(
                "ns: report of all peers packed",
                sizes(7, 35, 350),
                n -> {
                    MemberIndex roll = freshness(n).roll();
                    ProbeReport report = report(n, 2_000 * MILLI);
                    return time(() -> PackedAges.pack(roll, report.members()), 200);
                });
        nanos(
                "ns: roll of all peers made",
                sizes(7, 35, 350),
                n -> {
                    Freshness freshness = freshness(n);
                    return time(freshness::roll, 200);
                });
        nanos("message bytes: probe answer", sizes(7, 35, 350), n -> packed(n).getSerializedSize());
        nanos(
                "message bytes: probe answer with names",
                sizes(7, 35, 350),
                n -> answer(n).getSerializedSize());
    }

    private void measureConfiguration() {
        bytes("bytes: team in the configuration", sizes(50, 500, 5_000), this::teams);
        nanos(
                "ns: one object changed, by objects held",
                sizes(50, 500, 2_600),
                n -> {
                    ConfigurationState state = teams(n);
                    VersionedObject changed = team(n / 2, 9_999);
                    return time(() -> state.with(List.of(changed)), 50);
                });
        nanos(
                "message bytes: versions of all objects",
                sizes(50, 500, 2_600),
                n -> versions(n).getSerializedSize());
    }

    private void measureRequests() {
        bytes(
                "bytes: token bucket",
                sizes(1_000, 10_000, 50_000),
                n -> {
                    List<TokenBucket> buckets = new ArrayList<>();
                    for (int index = 0; index < n; index++) {
                        buckets.add(new TokenBucket(1, 1, 1, 0));
                    }
                    return buckets;
                });
        bytes(
                "bytes: action record with a 100-byte answer",
                sizes(1_000, 10_000, 50_000),
                SlopeMeasurement::ledger);
        nanos(
                "ns: placement, by runners of the pool",
                sizes(8, 27, 110),
                n -> {
                    PlacementPolicy policy = new PlacementPolicy(PlacementSettings.defaults());
                    CacheEstimate cacheEstimate = cacheEstimate(1_000);
                    List<RunnerLoad> loads = new ArrayList<>();
                    for (int index = 0; index < n; index++) {
                        loads.add(new RunnerLoad("runner-" + index, "i", index, 0));
                    }
                    PrefixChain chain = chain(1);
                    return time(() -> policy.choose(chain, loads, cacheEstimate, 1), 200);
                });
        nanos(
                "ns: prefix hashed, by kilobytes of prompt",
                sizes(4, 16, 64),
                n -> {
                    List<String> segments = List.of("x".repeat(n * 1_024));
                    return time(() -> PrefixChain.of("team", "model", 1, segments), 100);
                });
    }

    private static int[] sizes(int small, int middle, int large) {
        return new int[] {small, middle, large};
    }

    private void nanos(String name, int[] sizes, IntToDoubleFunction measure) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(new Slope.Point(size, measure.applyAsDouble(size)));
        }
        print(name, points);
    }

    private void bytes(String name, int[] sizes, IntFunction<Object> make) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            java.lang.ref.Reference.reachabilityFence(make.apply(Math.min(size, 50)));
            long before = usedHeap();
            Object kept = make.apply(size);
            long after = usedHeap();
            points.add(new Slope.Point(size, after - before));
            java.lang.ref.Reference.reachabilityFence(kept);
        }
        print(name, points);
    }

    private void print(String name, List<Slope.Point> points) {
        out.println(Slope.fit(name, points));
        for (Slope.Point point : points) {
            out.printf("    at %9.0f: %14.0f%n", point.size(), point.value());
        }
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int repeat = 0; repeat < 4; repeat++) {
            System.gc();
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }

    private static double time(Runnable action, int inner) {
        List<Double> medians = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            long begin = System.nanoTime();
            for (int index = 0; index < inner; index++) {
                action.run();
            }
            medians.add((System.nanoTime() - begin) / (double) inner);
        }
        medians.sort(null);
        return medians.get(REPEATS / 2);
    }

    private static PrefixChain chain(int number) {
        return PrefixChain.of("team", "model", 1, List.of("sheet " + number));
    }

    private static List<PrefixChain> chains(int count) {
        return IntStream.range(0, count).mapToObj(SlopeMeasurement::chain).toList();
    }

    private CacheEstimate cacheEstimate(int prefixes) {
        CacheEstimate cacheEstimate = new CacheEstimate(prefixes + 1, Long.MAX_VALUE, 0);
        for (int index = 0; index < prefixes; index++) {
            cacheEstimate.recordCached("r", "i", chain(index), 0);
        }
        return cacheEstimate;
    }

    private static MemberIdentity member(int number) {
        return new MemberIdentity("zone-a-" + number, "0123456789a" + number);
    }

    private Freshness freshness(int peers) {
        Freshness freshness = new Freshness(member(0), 2_000 * MILLI, 0);
        List<String> roster = new ArrayList<>();
        for (int index = 0; index <= peers; index++) {
            roster.add(member(index).vm());
        }
        freshness.setRoster(roster);
        freshness.recordReport(report(peers, 1_000 * MILLI), 2_000 * MILLI);
        return freshness;
    }

    private static ProbeReport report(int peers, long platformAge) {
        List<ProbeReport.MemberAge> ages = new ArrayList<>();
        for (int index = 1; index <= peers; index++) {
            ages.add(
                    new ProbeReport.MemberAge(member(index), MILLI, OptionalLong.of(MILLI), false));
        }
        return new ProbeReport(member(1), true, false, OptionalLong.of(platformAge), ages);
    }

    private ProbeAnswer packed(int peers) {
        MemberIndex roll = freshness(peers).roll();
        PackedAges packed = PackedAges.pack(roll, report(peers, 2_000 * MILLI).members());
        return ProbeAnswer.newBuilder()
                .setVm("zone-a-1")
                .setIncarnation(member(1).incarnation())
                .setPackedAges(ByteString.copyFrom(packed.ages()))
                .build();
    }

    private static ProbeAnswer answer(int peers) {
        ProbeAnswer.Builder answer =
                ProbeAnswer.newBuilder().setVm("zone-a-1").setIncarnation(member(1).incarnation());
        for (int index = 1; index <= peers; index++) {
            answer.addMembers(
                    MemberAge.newBuilder()
                            .setVm(member(index).vm())
                            .setIncarnation(member(index).incarnation())
                            .setHeardAgeMs(300)
                            .setCoveredAgeMs(400));
        }
        return answer.build();
    }

    private static ProbeAnswer versions(int objects) {
        ProbeAnswer.Builder answer = ProbeAnswer.newBuilder();
        for (int index = 0; index < objects; index++) {
            answer.addVersions(
                    ObjectVersion.newBuilder()
                            .setKey("team/team-" + index)
                            .setVersion(100_000 + index));
        }
        return answer.build();
    }

    private static VersionedObject team(int number, long version) {
        TeamObject team =
                TeamObject.newBuilder()
                        .setTeam("team-" + number)
                        .setTokensPerSecond(1_000)
                        .setBurstTokens(10_000)
                        .build();
        return new VersionedObject("team/team-" + number, version, team.toByteArray());
    }

    private ConfigurationState teams(int count) {
        List<VersionedObject> objects = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            objects.add(team(index, 1 + index));
        }
        return ConfigurationState.empty().with(objects);
    }

    private static Object ledger(int records) {
        ActionLedger ledger = new ActionLedger(member(0), 0);
        for (int index = 0; index < records; index++) {
            ActionId id =
                    ActionId.parse(ledger.prefix(0) + "suffix-of-the-caller-" + index)
                            .orElseThrow();
            ledger.begin(id, "team", "0123456789abcdef".repeat(4) + index, 0);
            ledger.finish(id, new ActionOutcome.Ran(new byte[100]));
        }
        return ledger;
    }
}
