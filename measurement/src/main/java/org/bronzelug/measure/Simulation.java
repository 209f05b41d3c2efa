package org.bronzelug.measure;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.bronzelug.core.limit.TokenBucket;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.PrefixHash;
import org.bronzelug.core.placement.PrefixLevel;

/**
 * A discrete-event simulation of one policy in virtual time, with callers, VMs that run the
 * production code, and modelled runners. Deterministic for a given seed. Not thread-safe.
 */
final class Simulation {
    static final long SECOND = 1_000_000_000L;
    private static final int OUTPUT_TOKENS = 60;

    /** The tokens of one request that count against its team's rate: prompt and output. */
    private static final double TOKENS_PER_REQUEST = 3_020;

    private static final double FLOOD_FACTOR = 5;
    private static final double RATE_MARGIN = 1.3;
    private static final double BURST_SECONDS = 10;
    private static final long WARM_UP = 20 * SECOND;
    private static final long MAXIMUM_NANOS = 600 * SECOND;

    private final Profile profile;
    private final Policy policy;
    private final Fault fault;
    private final boolean flood;
    private final long duration;
    private final Random random;
    private final Workload workload;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<ModelledRunner> runners = new ArrayList<>();
    private final List<ModelledVm> vms = new ArrayList<>();
    private final List<TokenBucket> buckets = new ArrayList<>();
    private final List<Histogram> firstTokenByTeam = new ArrayList<>();
    private final Histogram firstToken = new Histogram(MAXIMUM_NANOS, 3);
    private final Set<PrefixHash> prefilledPrefixes = new HashSet<>();
    private final double[] hitTokensBySecond;
    private final double[] promptTokensBySecond;
    private double hitTokens;
    private double promptTokens;
    private double recomputedTokens;
    private long requests;
    private long rejectedWithinRate;
    private long sequence;
    private long now;

    Simulation(RunSettings settings, Policy policy, long seed) {
        int seconds = settings.seconds();
        this.profile = settings.profile();
        this.policy = policy;
        this.fault = settings.fault();
        this.flood = settings.flood();
        this.duration = seconds * SECOND;
        this.random = new Random(seed);
        this.workload = new Workload(profile, new Random(seed + 1));
        this.hitTokensBySecond = new double[seconds + 600];
        this.promptTokensBySecond = new double[seconds + 600];
        for (int index = 0; index < profile.runners(); index++) {
            runners.add(new ModelledRunner("runner-" + index));
        }
        for (int index = 0; index < profile.vms(); index++) {
            vms.add(new ModelledVm(this, policy, runners, settings));
        }
        for (double share : profile.teamShares()) {
            double rate = share * profile.requestsPerSecond() * TOKENS_PER_REQUEST * RATE_MARGIN;
            buckets.add(new TokenBucket(rate, rate * BURST_SECONDS, rate * BURST_SECONDS, 0));
            firstTokenByTeam.add(new Histogram(MAXIMUM_NANOS, 3));
        }
    }

    /** An action at a virtual time; events at the same time run in the order they were added. */
    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time
                    ? Long.compare(time, other.time)
                    : Long.compare(order, other.order);
        }
    }

    void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    long now() {
        return now;
    }

    /** Runs the simulation until no event is left. */
    RunResult run() {
        at(0, this::generateLoad);
        if (flood) {
            at(WARM_UP, this::generateFlood);
        }
        at(duration / 2, this::inject);
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
        }
        return result();
    }

    private void inject() {
        if (fault == Fault.RUNNER_CRASH) {
            runners.get(0).crash(now);
        }
        if (fault.restartsAll()) {
            vms.forEach(ModelledVm::restart);
        }
        if (fault.partnerLeaves()) {
            for (int index = 0; index < runners.size() / 2; index++) {
                ModelledRunner leaving = runners.get(index);
                at(now + index * SECOND, leaving::leave);
            }
        }
    }

    private void generateLoad() {
        if (now > duration) {
            return;
        }
        submitRequest(workload.nextTeam());
        at(now + exponential(profile.requestsPerSecond()), this::generateLoad);
    }

    /** Adds the flood: the second-smallest team sends five times its load on top of it. */
    private void generateFlood() {
        if (now > duration) {
            return;
        }
        int team = profile.teamShares().size() - 2;
        submitRequest(team);
        double rate = profile.teamShares().get(team) * profile.requestsPerSecond() * FLOOD_FACTOR;
        at(now + exponential(rate), this::generateFlood);
    }

    private long exponential(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
    }

    private void submitRequest(int team) {
        boolean shifted = now > duration * 3 / 4;
        PrefixChain chain =
                PrefixChain.of(profile.team(team), "model", 1, workload.nextPrompt(team, shifted));
        long arrivedNanos = now;
        String id = Long.toString(sequence);
        int estimate = chain.tokens() + OUTPUT_TOKENS;
        if (!buckets.get(team).reserve(id, estimate, now)) {
            countRejection(team);
            return;
        }
        buckets.get(team).settle(id, estimate, now);
        ModelledVm vm = vms.get(indexOfVm(chain));
        Request request = new Request(profile.team(team), chain, arrivedNanos, team);
        at(now + profile.callerToVmNanos(), () -> vm.enqueue(request));
    }

    /**
     * Counts the rejection of a request that a VM's full queue drops, although the request was
     * within its team's rate.
     */
    void rejectDroppedRequest(Request request) {
        countRejection(request.teamIndex());
    }

    private void countRejection(int team) {
        boolean isFlooding = flood && team == profile.teamShares().size() - 2;
        rejectedWithinRate += isFlooding ? 0 : 1;
    }

    private int indexOfVm(PrefixChain chain) {
        if (!policy.isProduction() || policy == Policy.NO_STEERING) {
            return random.nextInt(vms.size());
        }
        List<String> names = new ArrayList<>();
        for (int index = 0; index < vms.size(); index++) {
            names.add("vm-" + index);
        }
        String first = Rendezvous.first(chain.root().hash().low(), names).orElseThrow();
        return names.indexOf(first);
    }

    /**
     * Starts the prefill of a request that reaches its runner.
     *
     * @return the time at which the first token is generated
     */
    long prefill(Request request, ModelledRunner runner) {
        PrefixChain chain = request.chain();
        int cached = runner.cachedTokens(chain);
        countTokens(chain, cached);
        long firstTokenAt = runner.prefill(chain, now);
        long firstTokenAtCaller =
                firstTokenAt + profile.vmToRunnerNanos() + profile.callerToVmNanos();
        if (request.arrivedNanos() > WARM_UP) {
            firstToken.recordValue(firstTokenAtCaller - request.arrivedNanos());
            firstTokenByTeam
                    .get(request.teamIndex())
                    .recordValue(firstTokenAtCaller - request.arrivedNanos());
            requests++;
        }
        return firstTokenAt;
    }

    private void countTokens(PrefixChain chain, int cached) {
        int second = (int) (now / SECOND);
        hitTokensBySecond[second] += cached;
        promptTokensBySecond[second] += chain.tokens();
        int tokensBefore = 0;
        for (PrefixLevel level : chain.levels()) {
            boolean prefilledBefore = !prefilledPrefixes.add(level.hash());
            if (now > WARM_UP && prefilledBefore && level.tokens() > cached) {
                recomputedTokens += level.tokens() - tokensBefore;
            }
            tokensBefore = level.tokens();
        }
        if (now > WARM_UP) {
            hitTokens += cached;
            promptTokens += chain.tokens();
        }
    }

    int outputTokens() {
        return OUTPUT_TOKENS;
    }

    private RunResult result() {
        List<Double> byTeam = new ArrayList<>();
        for (int team = 0; team < firstTokenByTeam.size(); team++) {
            boolean isFlooding = flood && team == firstTokenByTeam.size() - 2;
            if (!isFlooding) {
                byTeam.add(firstTokenByTeam.get(team).getValueAtPercentile(99) / 1e6);
            }
        }
        byTeam.sort(null);
        int faultSecond = (int) (duration / 2 / SECOND);
        return new RunResult(
                hitTokens / promptTokens,
                firstToken.getValueAtPercentile(50) / 1e6,
                firstToken.getValueAtPercentile(99) / 1e6,
                recomputedTokens,
                byTeam.get(byTeam.size() - 1),
                byTeam.get(byTeam.size() / 2),
                rejectedWithinRate,
                requests,
                hitRate(faultSecond - 5, faultSecond),
                hitRate(faultSecond, faultSecond + 1));
    }

    private double hitRate(int fromSecond, int toSecond) {
        double hitSum = 0;
        double promptSum = 0;
        for (int second = fromSecond; second < toSecond; second++) {
            hitSum += hitTokensBySecond[second];
            promptSum += promptTokensBySecond[second];
        }
        return promptSum == 0 ? 0 : hitSum / promptSum;
    }
}
