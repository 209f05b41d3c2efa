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
 * One run of a policy over virtual time: callers, entry VMs with the shipped decisions, modelled
 * runners. Deterministic for a seed; not thread-safe.
 */
final class Simulation {
    static final long SECOND = 1_000_000_000L;
    private static final int OUTPUT_TOKENS = 60;

    /** Of one request: prompt and output. */
    private static final double METERED_TOKENS = 3_020;

    private static final double FLOOD = 5;
    private static final double RATE_MARGIN = 1.3;
    private static final double BURST_SECONDS = 10;
    private static final long WARM_UP = 20 * SECOND;
    private static final long HIGHEST_NANOS = 600 * SECOND;

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
    private final List<Histogram> firstTokens = new ArrayList<>();
    private final Histogram firstToken = new Histogram(HIGHEST_NANOS, 3);
    private final Set<PrefixHash> everPrefilled = new HashSet<>();
    private final double[] hitBySecond;
    private final double[] promptBySecond;
    private double hitTokens;
    private double promptTokens;
    private double recomputedTokens;
    private long requests;
    private long refusedWithinRate;
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
        this.hitBySecond = new double[seconds + 600];
        this.promptBySecond = new double[seconds + 600];
        for (int index = 0; index < profile.runners(); index++) {
            runners.add(new ModelledRunner("runner-" + index));
        }
        for (int index = 0; index < profile.vms(); index++) {
            vms.add(new ModelledVm(this, policy, runners, settings));
        }
        for (double share : profile.teamShares()) {
            double rate = share * profile.requestsPerSecond() * METERED_TOKENS * RATE_MARGIN;
            buckets.add(new TokenBucket(rate, rate * BURST_SECONDS, rate * BURST_SECONDS, 0));
            firstTokens.add(new Histogram(HIGHEST_NANOS, 3));
        }
    }

    /** Something that happens at a time. */
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

    /** Runs to the end. */
    RunResult run() {
        at(0, this::arrive);
        if (flood) {
            at(WARM_UP, this::arriveOfFlood);
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

    private void arrive() {
        if (now > duration) {
            return;
        }
        request(workload.nextTeam());
        at(now + exponential(profile.requestsPerSecond()), this::arrive);
    }

    /** The smallest team but one sends several times its rate on top. */
    private void arriveOfFlood() {
        if (now > duration) {
            return;
        }
        int team = profile.teamShares().size() - 2;
        request(team);
        double rate = profile.teamShares().get(team) * profile.requestsPerSecond() * FLOOD;
        at(now + exponential(rate), this::arriveOfFlood);
    }

    private long exponential(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
    }

    private void request(int team) {
        boolean shifted = now > duration * 3 / 4;
        PrefixChain chain =
                PrefixChain.of(profile.team(team), "model", 1, workload.nextPrompt(team, shifted));
        long arrived = now;
        String id = Long.toString(sequence);
        int estimate = chain.tokens() + OUTPUT_TOKENS;
        if (!buckets.get(team).reserve(id, estimate, now)) {
            countRefusal(team);
            return;
        }
        buckets.get(team).settle(id, estimate, now);
        ModelledVm vm = vms.get(vmOf(chain));
        Request request = new Request(profile.team(team), chain, arrived, team);
        at(now + profile.callerToVmNanos(), () -> vm.take(request));
    }

    /** A full queue gave the request up: the caller is refused, though its team keeps its rate. */
    void refuseForWantOfRoom(Request request) {
        countRefusal(request.teamIndex());
    }

    private void countRefusal(int team) {
        boolean floods = flood && team == profile.teamShares().size() - 2;
        refusedWithinRate += floods ? 0 : 1;
    }

    private int vmOf(PrefixChain chain) {
        if (!policy.isShipped() || policy == Policy.NO_STEERING) {
            return random.nextInt(vms.size());
        }
        List<String> names = new ArrayList<>();
        for (int index = 0; index < vms.size(); index++) {
            names.add("vm-" + index);
        }
        String first = Rendezvous.first(chain.root().hash().toString(), names).orElseThrow();
        return names.indexOf(first);
    }

    /** The prompt reaches its runner; returns when the first token is generated. */
    long prefill(Request request, ModelledRunner runner) {
        PrefixChain chain = request.chain();
        int cached = runner.cachedTokens(chain);
        count(chain, cached);
        long firstTokenAt = runner.prefill(chain, now);
        long seen = firstTokenAt + profile.vmToRunnerNanos() + profile.callerToVmNanos();
        if (request.arrived() > WARM_UP) {
            firstToken.recordValue(seen - request.arrived());
            firstTokens.get(request.teamIndex()).recordValue(seen - request.arrived());
            requests++;
        }
        return firstTokenAt;
    }

    private void count(PrefixChain chain, int cached) {
        int second = (int) (now / SECOND);
        hitBySecond[second] += cached;
        promptBySecond[second] += chain.tokens();
        int before = 0;
        for (PrefixLevel level : chain.levels()) {
            boolean again = !everPrefilled.add(level.hash());
            if (now > WARM_UP && again && level.tokens() > cached) {
                recomputedTokens += level.tokens() - before;
            }
            before = level.tokens();
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
        for (int team = 0; team < firstTokens.size(); team++) {
            boolean floods = flood && team == firstTokens.size() - 2;
            if (!floods) {
                byTeam.add(firstTokens.get(team).getValueAtPercentile(99) / 1e6);
            }
        }
        byTeam.sort(null);
        int middle = (int) (duration / 2 / SECOND);
        return new RunResult(
                hitTokens / promptTokens,
                firstToken.getValueAtPercentile(50) / 1e6,
                firstToken.getValueAtPercentile(99) / 1e6,
                recomputedTokens,
                byTeam.get(byTeam.size() - 1),
                byTeam.get(byTeam.size() / 2),
                refusedWithinRate,
                requests,
                rate(middle - 5, middle),
                rate(middle, middle + 1));
    }

    private double rate(int fromSecond, int toSecond) {
        double hit = 0;
        double prompt = 0;
        for (int second = fromSecond; second < toSecond; second++) {
            hit += hitBySecond[second];
            prompt += promptBySecond[second];
        }
        return prompt == 0 ? 0 : hit / prompt;
    }
}
