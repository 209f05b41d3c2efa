package org.bronzelug.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Replays the prompts of an installation on runners that share their prefill, placed by VMs that
 * know each other's work late. Rates are those of 42 runners, scaled to the number of runners.
 */
final class GoalSeparationReplay {
    /** The ways to place a prompt that are compared. */
    enum Form {
        /** Cost alone. */
        PRESENT,
        /** The relaxed class gets the runners that its work needs, the tight class the others. */
        RELAXED_SIZED,
        /** {@link GoalSeparation}. */
        SEPARATED,
        /** The same sets; a runner of the other set only costs more. */
        SEPARATED_BY_COST,
        /** Knows all prompts at all runners; makes the fewest of them late. */
        PERFECT
    }

    /**
     * What is replayed.
     *
     * @param loading whether 12 of 42 runners load weights at any time
     * @param inOrder whether runners prefill prompts one after the other
     * @param shortFromMillis when short prompts begin
     * @param lostReports fraction of the reports of work that do not arrive at a peer
     * @param silentFromMillis when reports of work stop
     */
    record Load(
            int runners,
            int vms,
            boolean loading,
            boolean inOrder,
            int shortFromMillis,
            double lostReports,
            int silentFromMillis) {
        static Load of(int runners, int vms, boolean loading, boolean inOrder) {
            return new Load(runners, vms, loading, inOrder, 0, 0, Integer.MAX_VALUE);
        }

        Load withShortFrom(int millis) {
            return new Load(runners, vms, loading, inOrder, millis, 0, Integer.MAX_VALUE);
        }

        Load withLostReports(double fraction) {
            return new Load(runners, vms, loading, inOrder, 0, fraction, Integer.MAX_VALUE);
        }

        Load withSilenceFrom(int millis) {
            return new Load(runners, vms, loading, inOrder, 0, 0, millis);
        }
    }

    static final long[] GOAL_MILLIS = {257, 1_015};
    private static final int PREFIXES = 160;
    private static final double NANOS_PER_TOKEN = 1e6 / 74.8;
    private static final long MILLI = 1_000_000L;
    private static final long RUN_MILLIS = 22_000;
    private static final int KNOWN_LATE_MILLIS = 500;
    private static final int REPORT_MILLIS = 1_000;
    private static final int LOAD_MILLIS = 1_900;

    /** Decoding step and network, from the end of the prefill to the caller's first token. */
    private static final double FIXED_MILLIS = 12;

    /** Share of the goal that a runner of the other class costs in addition. */
    private static final double OTHER_CLASS_COST = 0.1;

    private record Known(long millis, Runnable record) {}

    private final Form form;
    private final Load load;
    private final Random random;
    private final Random losses = new Random(7);
    private final List<ReplayedRunner> runners;
    private final List<String> names;
    private final CacheEstimate cacheEstimate = new CacheEstimate(256, 20_000 * MILLI, 0);
    private final List<PrefillWork> work = new ArrayList<>();
    private final int[][] ownTokens;
    private final int[][] ownStreams;
    private final List<int[][][]> history = new ArrayList<>();
    private final PriorityQueue<Known> news =
            new PriorityQueue<>(Comparator.comparingLong(Known::millis));
    private final PlacementPolicy policy =
            new PlacementPolicy(
                    new PlacementSettings(
                            NANOS_PER_TOKEN, 50_000, 3, 500 * MILLI / NANOS_PER_TOKEN));
    final int[] sent = new int[2];
    final int[] inTime = new int[2];
    long longMissing;
    int overflows;

    GoalSeparationReplay(Form form, Load load, long seed) {
        this.form = form;
        this.load = load;
        this.random = new Random(seed);
        this.runners =
                IntStream.range(0, load.runners())
                        .mapToObj(index -> new ReplayedRunner(load.inOrder()))
                        .toList();
        this.names =
                IntStream.range(0, load.runners()).mapToObj(index -> "runner-" + index).toList();
        this.ownTokens = new int[load.vms()][load.runners()];
        this.ownStreams = new int[load.vms()][load.runners()];
        for (int vm = 0; vm < load.vms(); vm++) {
            work.add(new PrefillWork(0));
        }
    }

    double share(GoalClass goalClass) {
        int index = goalClass == GoalClass.RELAXED ? 1 : 0;
        return (double) inTime[index] / sent[index];
    }

    GoalSeparationReplay run() {
        double scale = load.runners() / 42.0 / 1_000;
        for (long millis = 0; millis < RUN_MILLIS; millis++) {
            boolean longBurst = millis >= 5_000 && millis < 11_000;
            boolean shortBurst = millis >= 14_000 && millis < 18_000;
            loadWeights(millis);
            learn(millis);
            boolean shortBegun = millis >= load.shortFromMillis();
            arrive(true, 111 * scale * (longBurst ? 2.5 : 1), millis);
            arrive(false, shortBegun ? 160 * scale * (shortBurst ? 1.8 : 1) : 0, millis);
            for (int index = 0; index < runners.size(); index++) {
                for (ReplayedRunner.Job job : runners.get(index).step(millis)) {
                    ownTokens[job.vm][index] -= job.estimatedMissing;
                    int kind = job.isLong ? 1 : 0;
                    double taken = millis + 1 - job.arrivedMillis + FIXED_MILLIS;
                    inTime[kind] += taken <= GOAL_MILLIS[kind] ? 1 : 0;
                    int runner = index;
                    long end = millis + (job.isLong ? 44 : 237);
                    news.add(new Known(end, () -> ownStreams[job.vm][runner]--));
                }
            }
        }
        return this;
    }

    private void loadWeights(long millis) {
        if (!load.loading() || millis % LOAD_MILLIS != 0) {
            return;
        }
        int count = Math.max(1, load.runners() * 12 / 42);
        int first = (int) (millis / LOAD_MILLIS * count % load.runners());
        runners.forEach(runner -> runner.loading = false);
        for (int index = first; index < first + count; index++) {
            runners.get(index % load.runners()).load();
        }
    }

    /** Makes known what was reported. */
    private void learn(long millis) {
        while (!news.isEmpty() && news.peek().millis() <= millis) {
            news.poll().record().run();
        }
        if (millis % 50 == 0) {
            int[][] tokens = new int[load.vms() + 1][];
            int[][] streams = new int[load.vms() + 1][];
            tokens[load.vms()] = new int[load.runners()];
            streams[load.vms()] = new int[load.runners()];
            for (int vm = 0; vm < load.vms(); vm++) {
                tokens[vm] = ownTokens[vm].clone();
                streams[vm] = ownStreams[vm].clone();
                for (int index = 0; index < load.runners(); index++) {
                    tokens[load.vms()][index] += tokens[vm][index];
                    streams[load.vms()][index] += streams[vm][index];
                }
            }
            history.add(new int[][][] {tokens, streams});
            if (history.size() > KNOWN_LATE_MILLIS / 50 + 1) {
                history.remove(0);
            }
        }
        for (int vm = 0; vm < load.vms(); vm++) {
            boolean silent = millis >= load.silentFromMillis();
            if (!silent && millis % REPORT_MILLIS == vm * REPORT_MILLIS / load.vms()) {
                report(vm, millis * MILLI);
            }
        }
    }

    private void report(int vm, long nowNanos) {
        for (int peer = 0; peer < load.vms(); peer++) {
            if (losses.nextDouble() < load.lostReports()) {
                continue;
            }
            for (GoalClass goalClass : GoalClass.values()) {
                if (peer != vm) {
                    long counter = work.get(vm).sentTokens(goalClass);
                    work.get(peer).recordPeer("vm-" + vm, "1", goalClass, counter, nowNanos);
                }
            }
        }
    }

    private void arrive(boolean isLong, double perMilli, long millis) {
        double expected = perMilli;
        while (random.nextDouble() < expected / (1 + expected)) {
            place(isLong, millis);
        }
    }

    private void place(boolean isLong, long millis) {
        PrefixChain chain = isLong ? longPrompt() : shortPrompt();
        int vm = random.nextInt(load.vms());
        GoalClass goalClass = isLong ? GoalClass.RELAXED : GoalClass.TIGHT;
        int kind = isLong ? 1 : 0;
        int index =
                form == Form.PERFECT
                        ? best(isLong, chain, millis)
                        : choose(goalClass, chain, vm, millis);
        String incarnation = String.valueOf(runners.get(index).incarnation);
        int cached =
                cacheEstimate.cachedTokens(names.get(index), incarnation, chain, millis * MILLI);
        int missing = chain.tokens() - cached;
        longMissing += isLong ? runners.get(index).missing(chain) : 0;
        sent[kind]++;
        ownTokens[vm][index] += missing;
        ownStreams[vm][index]++;
        work.get(vm).recordSent(goalClass, missing, millis * MILLI);
        runners.get(index).add(new ReplayedRunner.Job(isLong, vm, millis, missing, chain));
        long known = millis + KNOWN_LATE_MILLIS;
        news.add(
                new Known(
                        known,
                        () ->
                                cacheEstimate.recordCached(
                                        names.get(index), incarnation, chain, known * MILLI)));
    }

    private PrefixChain longPrompt() {
        int prefix = random.nextInt(PREFIXES);
        return PrefixChain.ofParts(
                "model",
                List.of(
                        new PromptPart("root-" + prefix % 4, 2_520),
                        new PromptPart("prefix-" + prefix, 3_780),
                        new PromptPart("own-" + random.nextLong(), 2_890)));
    }

    private PrefixChain shortPrompt() {
        return PrefixChain.ofParts(
                "model",
                List.of(
                        new PromptPart("short-" + random.nextInt(20), 198),
                        new PromptPart("own-" + random.nextLong(), 628)));
    }

    private int choose(GoalClass goalClass, PrefixChain chain, int vm, long millis) {
        Map<String, RunnerLoad> available = new HashMap<>();
        int[][][] past = history.get(0);
        for (int index = 0; index < load.runners(); index++) {
            if (!runners.get(index).loading) {
                available.put(names.get(index), load(index, vm, past));
            }
        }
        List<RunnerLoad> all = List.copyOf(available.values());
        long nowNanos = millis * MILLI;
        PrefillWork known = work.get(vm);
        if (form == Form.PRESENT || !known.isKnown(nowNanos)) {
            return index(policy.choose(chain, all, cacheEstimate, nowNanos));
        }
        double tight = busy(known, GoalClass.TIGHT, nowNanos);
        double relaxed = busy(known, GoalClass.RELAXED, nowNanos);
        List<String> order = GoalSeparation.order("pool", available.keySet());
        GoalSeparation separation =
                form == Form.RELAXED_SIZED
                        ? relaxedSized(order, relaxed)
                        : GoalSeparation.of(order, relaxed, tight);
        Set<String> set = separation.runners(goalClass);
        if (form == Form.SEPARATED_BY_COST) {
            return index(
                    policy.choose(chain, withCost(all, set, goalClass), cacheEstimate, nowNanos));
        }
        List<RunnerLoad> inSet = all.stream().filter(one -> set.contains(one.name())).toList();
        Optional<Placement> best = policy.choose(chain, inSet, cacheEstimate, nowNanos);
        double tokens =
                best.orElseThrow().queuedTokens()
                        + chain.tokens()
                        - best.orElseThrow().estimatedCachedTokens();
        if (GoalSeparation.overflows(tokens * NANOS_PER_TOKEN, GOAL_MILLIS[goalClass.ordinal()])) {
            overflows++;
            return index(policy.choose(chain, all, cacheEstimate, nowNanos));
        }
        return index(best);
    }

    private static GoalSeparation relaxedSized(List<String> order, double busy) {
        int count = Math.clamp((int) Math.ceil(busy / 0.6), 1, order.size());
        List<String> others = order.subList(count, order.size());
        boolean enough = 2 * others.size() >= order.size();
        return new GoalSeparation(
                Set.copyOf(order.subList(0, count)), Set.copyOf(enough ? others : order));
    }

    private static List<RunnerLoad> withCost(
            List<RunnerLoad> all, Set<String> set, GoalClass goalClass) {
        double tokens =
                OTHER_CLASS_COST * GOAL_MILLIS[goalClass.ordinal()] * MILLI / NANOS_PER_TOKEN;
        return all.stream()
                .map(
                        one ->
                                set.contains(one.name())
                                        ? one
                                        : new RunnerLoad(
                                                one.name(),
                                                one.incarnation(),
                                                one.queuedPrefillTokens() + tokens,
                                                one.runningStreams()))
                .toList();
    }

    private static double busy(PrefillWork known, GoalClass goalClass, long nowNanos) {
        return known.tokensPerSecond(goalClass, nowNanos) * NANOS_PER_TOKEN / 1e9;
    }

    private RunnerLoad load(int index, int vm, int[][][] past) {
        int peerTokens = past[0][load.vms()][index] - past[0][vm][index];
        int peerStreams = past[1][load.vms()][index] - past[1][vm][index];
        return new RunnerLoad(
                names.get(index),
                String.valueOf(runners.get(index).incarnation),
                ownTokens[vm][index] + peerTokens,
                ownStreams[vm][index] + peerStreams);
    }

    private int index(Optional<Placement> best) {
        return names.indexOf(best.orElseThrow().runner());
    }

    /** Returns the runner at which the fewest prompts become late, then the least work is done. */
    private int best(boolean isLong, PrefixChain chain, long millis) {
        return IntStream.range(0, load.runners())
                .filter(index -> !runners.get(index).loading)
                .boxed()
                .min(
                        Comparator.comparingInt(
                                        (Integer index) ->
                                                runners.get(index)
                                                        .lateWith(isLong, chain, millis, goals()))
                                .thenComparingDouble(
                                        index ->
                                                runners.get(index).queuedTokens()
                                                        + 3.0 * runners.get(index).missing(chain)))
                .orElseThrow();
    }

    private static long[] goals() {
        return new long[] {
            GOAL_MILLIS[0] - (long) FIXED_MILLIS, GOAL_MILLIS[1] - (long) FIXED_MILLIS
        };
    }
}
