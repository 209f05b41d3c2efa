package org.bronzelug.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A runner of {@link GoalSeparationReplay}, advanced in steps of a millisecond. */
final class ReplayedRunner {
    private static final double TOKENS_PER_MILLI = 74.8;
    private static final double STEP_MILLIS = 4.84;
    private static final int SLOTS = 32;
    private static final int MEMORY_TOKENS = 110_615;

    /** Memory that running requests leave for cached prefixes. */
    private static final int CACHE_TOKENS = 80_000;

    /** A prompt at the runner. */
    static final class Job {
        final boolean isLong;
        final int vm;
        final long arrivedMillis;
        final int estimatedMissing;
        private final PrefixChain chain;
        private final int heldTokens;
        private final double decodeMillis;
        private double missing;
        private double decodeUntilMillis = Double.POSITIVE_INFINITY;

        Job(boolean isLong, int vm, long millis, int estimatedMissing, PrefixChain chain) {
            int outputTokens = isLong ? 9 : 49;
            this.isLong = isLong;
            this.vm = vm;
            this.arrivedMillis = millis;
            this.estimatedMissing = estimatedMissing;
            this.chain = chain;
            this.heldTokens = chain.tokens() + outputTokens;
            this.decodeMillis = outputTokens * STEP_MILLIS;
        }

        boolean isPrefilled() {
            return decodeUntilMillis < Double.POSITIVE_INFINITY;
        }
    }

    private final boolean inOrder;
    private final Map<PrefixHash, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Job> waiting = new ArrayList<>();
    private final List<Job> running = new ArrayList<>();
    private int cachedTokens;
    int incarnation;
    boolean loading;

    /**
     * @param inOrder whether prompts are prefilled in the order of admission, instead of all
     *     admitted ones at equal shares
     */
    ReplayedRunner(boolean inOrder) {
        this.inOrder = inOrder;
    }

    void add(Job job) {
        waiting.add(job);
    }

    void load() {
        loading = true;
        incarnation++;
        cache.clear();
        cachedTokens = 0;
    }

    /** Advances by a millisecond; returns the jobs whose first token was generated. */
    List<Job> step(long millis) {
        running.removeIf(job -> job.decodeUntilMillis <= millis);
        admit();
        List<Job> begun = new ArrayList<>();
        List<Job> prefilling = running.stream().filter(job -> !job.isPrefilled()).toList();
        double left = TOKENS_PER_MILLI;
        List<Job> shared = new ArrayList<>(prefilling);
        if (!inOrder) {
            shared.sort(Comparator.comparingDouble(job -> job.missing));
        }
        for (int index = 0; index < shared.size(); index++) {
            Job job = shared.get(index);
            double share = inOrder ? left : left / (shared.size() - index);
            double used = Math.min(share, job.missing);
            job.missing -= used;
            left -= used;
            if (job.missing <= 0) {
                job.decodeUntilMillis = millis + job.decodeMillis;
                begun.add(job);
            }
        }
        return begun;
    }

    private void admit() {
        waiting.sort(Comparator.comparing(job -> job.isLong));
        int held = running.stream().mapToInt(job -> job.heldTokens).sum();
        Iterator<Job> next = waiting.iterator();
        while (next.hasNext() && running.size() < SLOTS) {
            Job job = next.next();
            held += job.heldTokens;
            if (held > MEMORY_TOKENS) {
                return;
            }
            job.missing = missing(job.chain);
            addToCache(job.chain);
            running.add(job);
            next.remove();
        }
    }

    /** Returns the tokens of the prompt that are not cached; at least one. */
    int missing(PrefixChain chain) {
        int cached = 0;
        for (PrefixLevel level : chain.levels()) {
            if (!cache.containsKey(level.hash())) {
                break;
            }
            cached = level.tokens();
        }
        return Math.max(1, chain.tokens() - cached);
    }

    private void addToCache(PrefixChain chain) {
        int before = 0;
        for (PrefixLevel level : chain.levels()) {
            if (cache.put(level.hash(), level.tokens() - before) == null) {
                cachedTokens += level.tokens() - before;
            }
            before = level.tokens();
        }
        Iterator<Integer> eldest = cache.values().iterator();
        while (cachedTokens > CACHE_TOKENS) {
            cachedTokens -= eldest.next();
            eldest.remove();
        }
    }

    /**
     * Returns how many more prompts would be late with one more prompt, if no others came.
     *
     * @param goalMillis goals of short and long prompts
     */
    int lateWith(boolean isLong, PrefixChain chain, long millis, long[] goalMillis) {
        return late(-1, 0, millis, goalMillis)
                - late(isLong ? 1 : 0, missing(chain), millis, goalMillis);
    }

    private int late(int added, double addedMissing, long millis, long[] goalMillis) {
        List<double[]> jobs = new ArrayList<>();
        running.stream()
                .filter(job -> !job.isPrefilled())
                .forEach(job -> jobs.add(ahead(job, job.missing, goalMillis)));
        waiting.forEach(job -> jobs.add(ahead(job, missing(job.chain), goalMillis)));
        if (added >= 0) {
            jobs.add(new double[] {addedMissing, millis + goalMillis[added]});
        }
        if (!inOrder) {
            jobs.sort(Comparator.comparingDouble(job -> job[0]));
        }
        int inTime = 0;
        double done = 0;
        double served = 0;
        for (int index = 0; index < jobs.size(); index++) {
            double[] job = jobs.get(index);
            int sharing = inOrder ? 1 : jobs.size() - index;
            done += (inOrder ? job[0] : (job[0] - served) * sharing) / TOKENS_PER_MILLI;
            served = job[0];
            inTime += millis + done <= job[1] ? 1 : 0;
        }
        return inTime - (added >= 0 ? 1 : 0);
    }

    private static double[] ahead(Job job, double missing, long[] goalMillis) {
        return new double[] {missing, job.arrivedMillis + goalMillis[job.isLong ? 1 : 0]};
    }

    int streams() {
        return running.size() + waiting.size();
    }

    double queuedTokens() {
        double total = waiting.stream().mapToInt(job -> missing(job.chain)).sum();
        return total + running.stream().mapToDouble(job -> job.missing).sum();
    }
}
