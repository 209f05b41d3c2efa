package org.bronzelug.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import org.bronzelug.core.placement.PromptAdmission;

/**
 * A pool of runners under 2.5 times the work that it can do for 5 s, with the decisions of many VMs
 * that know each other's use late. Runners serve urgent prompts first; a part of them is slowed
 * down at any time. Callers return after a rejection as told, while their time lasts.
 */
final class OverloadedFleet {
    enum Decision {
        PRESENT,
        NEW,
        PERFECT
    }

    static final int TEAMS = 16;
    private static final int WITHIN_SHARE_TEAMS = 7;
    private static final double[] SPEEDS = {0.6, 1, 1.6};
    private static final int RUNNERS = 12;
    private static final double TOKENS_PER_MILLI = 74.8;
    private static final double CAPACITY = RUNNERS * TOKENS_PER_MILLI * 16 / 15;
    private static final int STEP_MILLIS = 5;
    private static final int DELAY_MILLIS = 500;
    private static final int BEGIN_MILLIS = 1_000;
    private static final int END_MILLIS = 6_000;
    private static final long NANOS = 1_000_000;

    /** A kind of prompt, with the value of a first token in time and of a late one. */
    record Kind(int tokens, int goal, int limit, boolean urgent, double onTime, double late) {}

    static final Kind LONG = new Kind(9_190, 1_015, 5_076, false, 0.83, 0.6);
    static final Kind SHORT = new Kind(826, 257, 15_391, true, 3.7, 0.72);

    /** One prompt; its begin is that of its response, or 0. */
    static final class Prompt {
        final int team;
        final Kind kind;
        final long arrived;
        double left;
        long begun;

        private Prompt(int team, Kind kind, long arrived) {
            this.team = team;
            this.kind = kind;
            this.arrived = arrived;
            this.left = kind.tokens;
        }

        boolean isOnTime() {
            return begun > 0 && begun - arrived <= kind.goal;
        }

        double value() {
            return begun == 0 ? 0 : isOnTime() ? kind.onTime : kind.late;
        }
    }

    private record Return(long at, Prompt prompt) {}

    /** A runner's queues, and its past lengths. */
    private static final class Runner {
        private final Deque<Prompt> urgent = new ArrayDeque<>();
        private final Deque<Prompt> other = new ArrayDeque<>();
        private final List<double[]> history = new ArrayList<>();
        private final double speed;

        private Runner(double speed) {
            this.speed = speed;
        }

        /** Returns the tokens ahead of a prompt. */
        private double queued(boolean urgentOnly) {
            double own = urgent.stream().mapToDouble(prompt -> prompt.left).sum();
            return own + (urgentOnly ? 0 : other.stream().mapToDouble(p -> p.left).sum());
        }

        private void serve(long now, double tokens) {
            double left = tokens;
            while (left > 0 && !(urgent.isEmpty() && other.isEmpty())) {
                Deque<Prompt> queue = urgent.isEmpty() ? other : urgent;
                Prompt first = queue.peekFirst();
                double done = Math.min(left, first.left);
                first.left -= done;
                left -= done;
                if (first.left <= 0) {
                    queue.removeFirst();
                    if (now - first.arrived <= first.kind.limit) {
                        first.begun = now;
                    }
                }
            }
        }
    }

    /** One VM: what it has sent a moment ago, and its decisions. */
    private static final class Vm {
        private final Deque<double[]> sent = new ArrayDeque<>();
        private final ShareCredit credit = new ShareCredit();
        private final PoolAdmission<Prompt> admission =
                new PoolAdmission<>(new AdmissionCapacity(256, 8 << 20));
    }

    private final Decision decision;
    private final Random random;
    private final List<Runner> runners = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final List<Prompt> prompts = new ArrayList<>();
    private final PriorityQueue<Return> returns =
            new PriorityQueue<>(Comparator.comparingLong(Return::at));
    private final List<double[]> work = new ArrayList<>();
    private final double[] requested = new double[TEAMS];
    private double accepted;
    private FairShares shares = FairShares.unlimited();
    private final double[] owed = new double[2 * TEAMS];
    private long now;

    OverloadedFleet(Decision decision, int vmCount, long seed) {
        this.decision = decision;
        this.random = new Random(seed);
        for (int index = 0; index < RUNNERS; index++) {
            runners.add(new Runner(SPEEDS[index % SPEEDS.length]));
        }
        for (int index = 0; index < (decision == Decision.PERFECT ? 1 : vmCount); index++) {
            vms.add(new Vm());
        }
    }

    /** Returns the prompts that arrived, after all of them have ended. */
    List<Prompt> run() {
        for (now = 0; now < END_MILLIS + LONG.limit; now += STEP_MILLIS) {
            updateShares();
            arrive();
            while (!returns.isEmpty() && returns.peek().at <= now) {
                decide(anyVm(), returns.remove().prompt);
            }
            if (decision != Decision.PRESENT && now % 50 == 0) {
                vms.forEach(this::tryWaiting);
            }
            for (int index = 0; index < RUNNERS; index++) {
                Runner runner = runners.get(index);
                runner.history.add(new double[] {runner.queued(true), runner.queued(false)});
                runner.serve(now, speed(index) * TOKENS_PER_MILLI * STEP_MILLIS);
            }
        }
        return prompts;
    }

    /** Computes the shares of one second, as they are known after the delay. */
    private void updateShares() {
        double[] sums = Arrays.copyOf(requested, TEAMS + 1);
        sums[TEAMS] = accepted;
        work.add(sums);
        int delay = decision == Decision.PERFECT ? 0 : DELAY_MILLIS;
        int end = (int) (now - delay) / STEP_MILLIS;
        int start = end - 1_000 / STEP_MILLIS;
        if (start < 0) {
            return;
        }
        Map<String, Double> byTeam = new HashMap<>();
        for (int team = 0; team < TEAMS; team++) {
            byTeam.put(String.valueOf(team), work.get(end)[team] - work.get(start)[team]);
        }
        shares =
                FairShares.of(
                        byTeam,
                        work.get(end)[TEAMS] - work.get(start)[TEAMS],
                        1_000 * RUNNERS * TOKENS_PER_MILLI);
    }

    /** Returns the speed of a runner; two of twelve are slowed down for 0.6 s. */
    private double speed(int index) {
        boolean slowed = (index + now / 600 * 5) % RUNNERS < 2;
        return runners.get(index).speed / (slowed ? 2.5 : 1);
    }

    /** Returns a team's work as a fraction of the capacity, as it is during the overload. */
    private static double demand(int team) {
        if (team == 0) {
            return 6.0 / TEAMS;
        }
        return team <= WITHIN_SHARE_TEAMS ? 0.8 / TEAMS : (2.5 - 11.6 / TEAMS) / 8;
    }

    static boolean isWithinShare(int team) {
        return team > 0 && team <= WITHIN_SHARE_TEAMS;
    }

    private void arrive() {
        boolean overload = now >= BEGIN_MILLIS && now < END_MILLIS;
        for (int index = 0; index < owed.length && now < END_MILLIS; index++) {
            Kind kind = index % 2 == 0 ? LONG : SHORT;
            double part = kind == LONG ? 0.85 : 0.15;
            double demand = demand(index / 2) * (overload ? 1 : 0.24);
            owed[index] += demand * part * CAPACITY * STEP_MILLIS * 2 * random.nextDouble();
            while (owed[index] >= kind.tokens) {
                owed[index] -= kind.tokens;
                Prompt prompt = new Prompt(index / 2, kind, now);
                prompts.add(prompt);
                decide(anyVm(), prompt);
            }
        }
    }

    private Vm anyVm() {
        return vms.get(random.nextInt(vms.size()));
    }

    private void decide(Vm vm, Prompt prompt) {
        Kind kind = prompt.kind;
        String team = String.valueOf(prompt.team);
        if (decision == Decision.PRESENT) {
            int runner = choose(vm, kind.urgent);
            double queued = queuedNanos(vm, runner, kind.urgent);
            OptionalLong retry =
                    PromptAdmission.retryAfterMillis(
                            kind.urgent, kind.goal, queued, random.nextDouble());
            if (retry.isPresent()) {
                reject(prompt, retry.getAsLong());
            } else {
                send(vm, runner, prompt);
            }
            return;
        }
        requested[prompt.team] += kind.tokens;
        if (!kind.urgent && shares.isBeyond(team)) {
            double queued = queuedNanos(vm, choose(vm, false), false);
            vm.credit.recordArrival(
                    kind.tokens,
                    shares.admittedFraction(OverloadAdmission.spare(kind.goal, queued)));
        }
        int urgency = kind.urgent ? 1 : 3;
        if (!vm.admission.hasWaiting(team, urgency) && trySend(vm, prompt)) {
            return;
        }
        long limit = prompt.arrived + WaitLimit.millis(kind.goal, kind.limit);
        WaitingEntry<Prompt> entry =
                new WaitingEntry<>(
                        prompt, team, urgency, kind.tokens, 8_192, limit * NANOS, now * NANOS);
        vm.admission.offer(entry, now * NANOS).forEach(refused -> refuse(vm, refused.entry()));
    }

    private void tryWaiting(Vm vm) {
        vm.admission.removeTooLate(now * NANOS).forEach(refused -> refuse(vm, refused.entry()));
        List<WaitingEntry<Prompt>> failed = new ArrayList<>();
        while (failed.size() < 8) {
            var next =
                    vm.admission.next(
                            entry -> failed.stream().noneMatch(f -> f.team().equals(entry.team())));
            if (next.isEmpty()) {
                return;
            }
            if (trySend(vm, next.get().item())) {
                vm.admission.take(next.get(), now * NANOS);
            } else {
                failed.add(next.get());
            }
        }
    }

    private boolean trySend(Vm vm, Prompt prompt) {
        Kind kind = prompt.kind;
        int runner = choose(vm, kind.urgent);
        boolean beyond = shares.isBeyond(String.valueOf(prompt.team));
        double queued = queuedNanos(vm, runner, kind.urgent);
        double longest =
                OverloadAdmission.longestNanos(
                        kind.urgent, beyond, vm.credit.isAvailable(), kind.goal);
        if (queued > longest) {
            return false;
        }
        if (beyond && !kind.urgent) {
            vm.credit.recordSent(kind.tokens);
        }
        send(vm, runner, prompt);
        accepted += kind.tokens;
        vm.admission.recordAccepted(kind.urgent ? 1 : 3, kind.tokens, now * NANOS);
        return true;
    }

    private void refuse(Vm vm, WaitingEntry<Prompt> entry) {
        Prompt prompt = entry.item();
        long remaining = prompt.arrived + prompt.kind.limit - now;
        reject(prompt, vm.admission.returnMillis(entry, remaining * NANOS, now * NANOS));
    }

    private void reject(Prompt prompt, long retryMillis) {
        long remaining = prompt.arrived + prompt.kind.limit - now;
        if (remaining > 3 * STEP_MILLIS) {
            long delay = Math.max(STEP_MILLIS, Math.min(retryMillis, remaining / 3));
            returns.add(new Return(now + delay, prompt));
        }
    }

    private void send(Vm vm, int index, Prompt prompt) {
        Runner runner = runners.get(index);
        (prompt.kind.urgent ? runner.urgent : runner.other).addLast(prompt);
        vm.sent.addLast(new double[] {now, index, prompt.kind.tokens, prompt.kind.urgent ? 1 : 0});
    }

    /** Returns the runner with the shorter queue, of two random ones. */
    private int choose(Vm vm, boolean urgent) {
        int first = random.nextInt(RUNNERS);
        int second = random.nextInt(RUNNERS);
        if (decision == Decision.PERFECT) {
            first = 0;
            for (int index = 1; index < RUNNERS; index++) {
                first = shorter(vm, first, index, urgent);
            }
            return first;
        }
        return shorter(vm, first, second, urgent);
    }

    private int shorter(Vm vm, int first, int second, boolean urgent) {
        return queuedNanos(vm, first, urgent) <= queuedNanos(vm, second, urgent) ? first : second;
    }

    /** Returns the queue delay of a runner, as the VM knows it. */
    private double queuedNanos(Vm vm, int index, boolean urgent) {
        Runner runner = runners.get(index);
        if (decision == Decision.PERFECT) {
            return runner.queued(urgent) / (speed(index) * TOKENS_PER_MILLI) * NANOS;
        }
        while (!vm.sent.isEmpty() && vm.sent.peekFirst()[0] <= now - DELAY_MILLIS) {
            vm.sent.removeFirst();
        }
        int past = (int) (now - DELAY_MILLIS) / STEP_MILLIS;
        double known = past < 0 ? 0 : runner.history.get(past)[urgent ? 0 : 1];
        for (double[] own : vm.sent) {
            known += own[1] == index && (!urgent || own[3] == 1) ? own[2] : 0;
        }
        return known / TOKENS_PER_MILLI * NANOS;
    }
}
