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
 * Measures how memory, time and message size grow with the number of prefixes, peers, teams,
 * runners and action records, at three sizes each.
 *
 * <p>Memory is the live heap after garbage collection. Times are the median of repeated runs on one
 * thread. Not thread-safe.
 */
final class SlopeMeasurement {
    private static final int REPEATS = 15;
    private static final long MILLI = 1_000_000;

    private final PrintStream out;

    SlopeMeasurement(PrintStream out) {
        this.out = out;
    }

    void run() {
        measureCacheEstimate();
        measureCacheEvents();
        measurePeers();
        measureConfiguration();
        measureRequests();
    }

    private void measureCacheEstimate() {
        measureBytes(
                "bytes: prefix in the cache estimate",
                sizes(20_000, 100_000, 300_000),
                this::cacheEstimate);
        measureValues(
                "ns: all prefixes recorded",
                sizes(5_000, 20_000, 80_000),
                n -> {
                    List<PrefixChain> chains = chains(n);
                    CacheEstimate cacheEstimate = cacheEstimate(n);
                    return medianNanos(
                            () ->
                                    chains.forEach(
                                            each -> cacheEstimate.recordCached("r", "i", each, 1)),
                            1);
                });
    }

    /**
     * Measures what applying the runners' cache events would cost. The daemon doesn't read these
     * events (docs/CAPACITY.md).
     */
    private void measureCacheEvents() {
        measureValues(
                "ns: cache events applied, a block stored and evicted again",
                sizes(5_000, 20_000, 80_000),
                n -> {
                    List<PrefixChain> chains = chains(n);
                    CacheEstimate cacheEstimate = cacheEstimate(n);
                    return medianNanos(
                            () -> chains.forEach(each -> applyEvents(cacheEstimate, each)), 1);
                });
    }

    private static void applyEvents(CacheEstimate cacheEstimate, PrefixChain chain) {
        cacheEstimate.recordCached("r", "i", chain, 1);
        cacheEstimate.recordEvicted("r", "i", chain.root().hash());
    }

    private void measurePeers() {
        measureBytes("bytes: peer known", sizes(7, 35, 350), this::freshness);
        measureValues(
                "ns: report on all peers recorded",
                sizes(7, 35, 350),
                n -> {
                    Freshness freshness = freshness(n);
                    ProbeReport report = report(n, 2_000 * MILLI);
                    return medianNanos(() -> freshness.recordReport(report, 3_000 * MILLI), 200);
                });
        measureValues(
                "ns: report on all peers created",
                sizes(7, 35, 350),
                n -> {
                    Freshness freshness = freshness(n);
                    return medianNanos(() -> freshness.report(3_000 * MILLI, false), 200);
                });
        measureValues(
                "ns: report on all peers packed",
                sizes(7, 35, 350),
                n -> {
                    MemberIndex memberIndex = freshness(n).memberIndex();
                    ProbeReport report = report(n, 2_000 * MILLI);
                    return medianNanos(() -> PackedAges.pack(memberIndex, report.members()), 200);
                });
        measureValues(
                "ns: index of all peers created",
                sizes(7, 35, 350),
                n -> {
                    Freshness freshness = freshness(n);
                    return medianNanos(freshness::memberIndex, 200);
                });
        measureValues(
                "message bytes: probe answer",
                sizes(7, 35, 350),
                n -> packed(n).getSerializedSize());
        measureValues(
                "message bytes: probe answer with names",
                sizes(7, 35, 350),
                n -> answer(n).getSerializedSize());
    }

    private void measureConfiguration() {
        measureBytes("bytes: team in the configuration", sizes(50, 500, 5_000), this::teams);
        measureValues(
                "ns: one object changed, by objects held",
                sizes(50, 500, 2_600),
                n -> {
                    ConfigurationState state = teams(n);
                    VersionedObject changed = team(n / 2, 9_999);
                    return medianNanos(() -> state.with(List.of(changed)), 50);
                });
        measureValues(
                "message bytes: versions of all objects",
                sizes(50, 500, 2_600),
                n -> versions(n).getSerializedSize());
    }

    private void measureRequests() {
        measureBytes(
                "bytes: token bucket",
                sizes(1_000, 10_000, 50_000),
                n -> {
                    List<TokenBucket> buckets = new ArrayList<>();
                    for (int index = 0; index < n; index++) {
                        buckets.add(new TokenBucket(1, 1, 1, 0));
                    }
                    return buckets;
                });
        measureBytes(
                "bytes: action record with a 100-byte response",
                sizes(1_000, 10_000, 50_000),
                SlopeMeasurement::ledger);
        measureValues(
                "ns: placement, by runners in the pool",
                sizes(8, 27, 110),
                n -> {
                    PlacementPolicy policy = new PlacementPolicy(PlacementSettings.defaults());
                    CacheEstimate cacheEstimate = cacheEstimate(1_000);
                    List<RunnerLoad> loads = new ArrayList<>();
                    for (int index = 0; index < n; index++) {
                        loads.add(new RunnerLoad("runner-" + index, "i", index, 0));
                    }
                    PrefixChain chain = chain(1);
                    return medianNanos(() -> policy.choose(chain, loads, cacheEstimate, 1), 200);
                });
        measureValues(
                "ns: prefix hashed, by kilobytes of prompt",
                sizes(4, 16, 64),
                n -> {
                    List<String> segments = List.of("x".repeat(n * 1_024));
                    return medianNanos(() -> PrefixChain.of("team", "model", 1, segments), 100);
                });
    }

    private static int[] sizes(int small, int middle, int large) {
        return new int[] {small, middle, large};
    }

    private void measureValues(String name, int[] sizes, IntToDoubleFunction measure) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(new Slope.Point(size, measure.applyAsDouble(size)));
        }
        printSlope(name, points);
    }

    private void measureBytes(String name, int[] sizes, IntFunction<Object> factory) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            java.lang.ref.Reference.reachabilityFence(factory.apply(Math.min(size, 50)));
            long before = usedHeap();
            Object retained = factory.apply(size);
            long after = usedHeap();
            points.add(new Slope.Point(size, after - before));
            java.lang.ref.Reference.reachabilityFence(retained);
        }
        printSlope(name, points);
    }

    private void printSlope(String name, List<Slope.Point> points) {
        out.println(Slope.fit(name, points));
        for (Slope.Point point : points) {
            out.printf("    at %9.0f: %14.0f%n", point.size(), point.value());
        }
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        long minimum = Long.MAX_VALUE;
        for (int repeat = 0; repeat < 4; repeat++) {
            System.gc();
            minimum = Math.min(minimum, runtime.totalMemory() - runtime.freeMemory());
        }
        return minimum;
    }

    private static double medianNanos(Runnable action, int iterations) {
        List<Double> samples = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            long start = System.nanoTime();
            for (int index = 0; index < iterations; index++) {
                action.run();
            }
            samples.add((System.nanoTime() - start) / (double) iterations);
        }
        samples.sort(null);
        return samples.get(REPEATS / 2);
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
        MemberIndex memberIndex = freshness(peers).memberIndex();
        PackedAges packed = PackedAges.pack(memberIndex, report(peers, 2_000 * MILLI).members());
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
