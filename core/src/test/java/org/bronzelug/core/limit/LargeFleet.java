package org.bronzelug.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Replays the requests of one team at a fleet of more than 13 VMs, on a virtual clock. Usage
 * reaches 24 peers in each round of 300 ms, and all peers if the team is near its limit and the
 * VM's usage has changed. A fleet of one VM is the central bucket to compare with.
 *
 * <p>Not thread-safe. Times are milliseconds, amounts tokens.
 */
final class LargeFleet {
    /** Kinds of requests: tokens, time limit, and their share of all requests in percent. */
    enum Kind {
        LARGE(9_199, 5_076, 31),
        SHORT(875, 15_391, 45),
        PLAIN(200, 1_525, 24);

        final int tokens;
        private final int limitMillis;
        private final int percent;

        Kind(int tokens, int limitMillis, int percent) {
            this.tokens = tokens;
            this.limitMillis = limitMillis;
            this.percent = percent;
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int WINDOW_MILLIS = 8_000;
    private static final int ROUND_MILLIS = 300;
    private static final int ROUND_JITTER_MILLIS = 60;
    private static final int PEERS_PER_ROUND = 24;
    private static final int LOST_PERCENT = 1;
    private static final double MEAN_TOKENS = 9_199 * 0.31 + 875 * 0.45 + 200 * 0.24;

    /** Draws the requests, so that fleets with the same seed get the same requests. */
    private final Random demand;

    private final Random random;
    private final double rate;
    private final double burst;
    private final double slack;
    private final int callerVms;
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Arrival> arrivals =
            new PriorityQueue<>(Comparator.comparingLong(Arrival::millis));
    private final PriorityQueue<Message> inFlight =
            new PriorityQueue<>(Comparator.comparingLong(Message::arrivalMillis));
    private final Deque<Arrival> admissions = new ArrayDeque<>();
    private final Map<Kind, Long> served = new EnumMap<>(Kind.class);
    private long millis;
    private double centralLevel;
    private double windowSum;
    private double maximumInWindow;
    private long admittedTokens;
    private long rejections;
    private long wrongRejections;
    private long messages;

    /**
     * @param callerVms number of VMs that receive requests
     * @param slack tokens beyond rate and burst that the VMs may use; 0 for none
     */
    LargeFleet(int size, int callerVms, double rate, double burst, double slack, long seed) {
        this.demand = new Random(seed);
        this.random = new Random(~seed);
        this.rate = rate;
        this.burst = burst;
        this.slack = slack;
        this.callerVms = callerVms;
        this.centralLevel = burst;
        for (int index = 0; index < size; index++) {
            vms.add(new Vm("vm-" + index));
        }
    }

    /** Runs until the given time, with the given demand. */
    void run(long untilMillis, double tokensPerSecond) {
        double perMilli = tokensPerSecond / MEAN_TOKENS / 1_000;
        while (millis < untilMillis) {
            millis++;
            centralLevel = Math.min(burst, centralLevel + rate / 1_000);
            deliver();
            vms.forEach(Vm::runRoundIfScheduled);
            for (double left = perMilli; left > 0; left--) {
                if (demand.nextDouble() < left) {
                    Kind kind = drawKind();
                    arrivals.add(new Arrival(millis, kind, millis + kind.limitMillis));
                }
            }
            while (!arrivals.isEmpty() && arrivals.peek().millis() <= millis) {
                arrive(arrivals.poll());
            }
            updateWindow();
        }
    }

    /** Kills a VM and starts another one under the same name, which joins a running fleet. */
    void restart(int index) {
        vms.set(index, new Vm(vms.get(index).name, vms.get(index).starts + 1));
    }

    /** Returns the maximum usage in a window less a tenth more than rate and burst. */
    double maximumExcess() {
        return maximumInWindow - 1.1 * (rate * WINDOW_MILLIS / 1_000 + burst);
    }

    long admittedTokens() {
        return admittedTokens;
    }

    long served(Kind kind) {
        return served.getOrDefault(kind, 0L);
    }

    long admittedRequests() {
        return served.values().stream().mapToLong(Long::longValue).sum();
    }

    long rejections() {
        return rejections;
    }

    /**
     * Returns the rejections of requests that a central bucket, so charged, would have admitted.
     */
    long wrongRejections() {
        return wrongRejections;
    }

    long messages() {
        return messages;
    }

    private Kind drawKind() {
        int drawn = demand.nextInt(100);
        for (Kind kind : Kind.values()) {
            drawn -= kind.percent;
            if (drawn < 0) {
                return kind;
            }
        }
        return Kind.PLAIN;
    }

    private long nanos() {
        return millis * NANOS_PER_MILLI;
    }

    private void arrive(Arrival arrival) {
        Vm vm = vms.get(random.nextInt(Math.min(callerVms, vms.size())));
        int tokens = arrival.kind().tokens;
        if (vm.bucket.tryAcquire(tokens, random.nextDouble(), nanos())) {
            centralLevel -= tokens;
            admissions.add(arrival.at(millis));
            windowSum += tokens;
            admittedTokens += tokens;
            served.merge(arrival.kind(), 1L, Long::sum);
            return;
        }
        rejections++;
        if (centralLevel >= tokens) {
            wrongRejections++;
        }
        long wait = vm.bucket.nanosUntil(tokens, random.nextDouble(), nanos()) / NANOS_PER_MILLI;
        long remaining = arrival.limitMillis() - millis;
        if (wait <= remaining / 3) {
            arrivals.add(arrival.at(millis + wait + 3));
        }
    }

    private void updateWindow() {
        maximumInWindow = Math.max(maximumInWindow, windowSum);
        while (!admissions.isEmpty() && admissions.peekFirst().millis() <= millis - WINDOW_MILLIS) {
            windowSum -= admissions.pollFirst().kind().tokens;
        }
    }

    private void deliver() {
        while (!inFlight.isEmpty() && inFlight.peek().arrivalMillis() <= millis) {
            Message message = inFlight.poll();
            message.target().received.put(message.report().vm(), message.report());
        }
    }

    private record Arrival(long millis, Kind kind, long limitMillis) {
        private Arrival at(long later) {
            return new Arrival(later, kind, limitMillis);
        }
    }

    private record Message(long arrivalMillis, Vm target, PeerBucketUsage report) {}

    private final class Vm {
        private final String name;
        private final int starts;
        private final long startMillis = millis;
        private final Map<String, PeerBucketUsage> received = new HashMap<>();
        private final Deque<Vm> turn = new ArrayDeque<>();
        private final FleetBucket bucket;
        private long nextRoundMillis = millis + random.nextInt(ROUND_MILLIS);
        private long sentAdmitted;
        private long sentOffered;

        private Vm(String name) {
            this(name, 0);
        }

        private Vm(String name, int starts) {
            this.name = name;
            this.starts = starts;
            this.bucket = new FleetBucket(rate, burst, starts == 0 ? burst : burst / 5, nanos());
            bucket.setSlack(slack);
            bucket.setPropagationDelay(3 * ROUND_MILLIS * NANOS_PER_MILLI);
        }

        private void runRoundIfScheduled() {
            if (millis < nextRoundMillis) {
                return;
            }
            nextRoundMillis = millis + ROUND_MILLIS + random.nextInt(ROUND_JITTER_MILLIS);
            received.values().forEach(report -> bucket.recordPeer(report, nanos()));
            received.clear();
            boolean changed = bucket.admitted() != sentAdmitted || bucket.offered() != sentOffered;
            boolean nearLimit =
                    bucket.level(nanos()) < burst / 2
                            || (slack > 0 && bucket.demandRate(nanos()) > rate);
            boolean contended = nearLimit && bucket.admitted() > 0;
            List<Vm> inTurn = nextInTurn();
            inTurn.forEach(this::send);
            if (contended && changed) {
                vms.stream().filter(peer -> peer != this).forEach(this::send);
                sentAdmitted = bucket.admitted();
                sentOffered = bucket.offered();
            }
        }

        private List<Vm> nextInTurn() {
            if (turn.size() < PEERS_PER_ROUND) {
                List<Vm> next = new ArrayList<>(vms);
                next.remove(this);
                next.removeAll(turn);
                Collections.shuffle(next, random);
                turn.addAll(next);
            }
            List<Vm> targets = new ArrayList<>();
            while (targets.size() < PEERS_PER_ROUND && !turn.isEmpty()) {
                targets.add(turn.poll());
            }
            return targets;
        }

        private void send(Vm target) {
            messages++;
            if (random.nextInt(100) < LOST_PERCENT) {
                return;
            }
            PeerBucketUsage report =
                    new PeerBucketUsage(
                            name,
                            "incarnation-" + starts,
                            bucket.admitted(),
                            bucket.offered(),
                            bucket.level(nanos()),
                            startMillis > target.startMillis - 2_000);
            // Datagrams of one sender keep their order, as their sequence numbers ensure.
            inFlight.add(new Message(millis + 5, target, report));
        }
    }
}
