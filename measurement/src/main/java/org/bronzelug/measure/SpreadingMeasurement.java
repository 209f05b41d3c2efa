package org.bronzelug.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Simulates how one configuration change propagates to all VMs over a lossy network in virtual
 * time, and compares three methods: the production one (the writer pushes to all VMs, and probes
 * reach those that the push missed), probes alone, and two redundant trees with probes as a
 * fallback. Stateless.
 *
 * <p>The redundant trees are from Esposito, Cotroneo and Gokhale, "Reliable Publish/Subscribe
 * Middleware for Time-sensitive Internet-scale Applications".
 */
final class SpreadingMeasurement {
    private static final double MILLI = 1.0;
    private static final double PROBE_PERIOD_MILLIS = 200;
    private static final int PROBES_PER_ROUND = 2;
    private static final double LOSS_RATE = 0.05;
    private static final int TREE_DEGREE = 8;
    private static final int ANNOUNCEMENT_ATTEMPTS = 6;
    private static final double RETRY_INTERVAL_MILLIS = 450;

    private SpreadingMeasurement() {}

    /** A propagation method. */
    private enum Way {
        PUSH_TO_ALL,
        PROBES_ALONE,
        TWO_TREES
    }

    /** The results of one run. */
    private record Cost(double lastMillis, double messages, double maximumByOneVm) {}

    static void run(PrintStream out, int seeds) {
        out.printf(
                "5 %% of messages lost, 1–5 ms each way, %d probes every %.0f ms; %d seeds%n",
                PROBES_PER_ROUND, PROBE_PERIOD_MILLIS, seeds);
        out.printf(
                "%-14s %6s %-28s %-28s %-24s%n",
                "way", "VMs", "ms to the last VM", "messages until then", "most by one VM");
        for (Way way : Way.values()) {
            for (int size : new int[] {7, 35, 350}) {
                print(out, way, size, seeds);
            }
        }
    }

    private static void print(PrintStream out, Way way, int size, int seeds) {
        List<Cost> costs = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            costs.add(new Propagation(size, new Random(1_000 + seed)).run(way));
        }
        out.printf(
                "%-14s %6d %-28s %-28s %-24s%n",
                way.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
                size,
                Spread.of(costs.stream().map(Cost::lastMillis).toList()),
                Spread.of(costs.stream().map(Cost::messages).toList()),
                Spread.of(costs.stream().map(Cost::maximumByOneVm).toList()));
    }

    /** The propagation of one change. */
    private static final class Propagation {
        private final int size;
        private final Random random;
        private final double[] knownAt;
        private final double[] sentBy;
        private double messages;

        private Propagation(int size, Random random) {
            this.size = size;
            this.random = random;
            this.knownAt = new double[size];
            this.sentBy = new double[size];
            java.util.Arrays.fill(knownAt, Double.MAX_VALUE);
            knownAt[0] = 0;
        }

        private Cost run(Way way) {
            switch (way) {
                case PUSH_TO_ALL -> pushToAll();
                case TWO_TREES -> {
                    sendAlongTree();
                    sendAlongTree();
                }
                default -> {
                    // Only the probes below spread the change.
                }
            }
            probeUntilAllKnow();
            double last = 0;
            double maximum = 0;
            for (int vm = 0; vm < size; vm++) {
                last = Math.max(last, knownAt[vm]);
                maximum = Math.max(maximum, sentBy[vm]);
            }
            return new Cost(last, messages, maximum);
        }

        private void pushToAll() {
            for (int attempt = 0; attempt < ANNOUNCEMENT_ATTEMPTS; attempt++) {
                int reached = 0;
                for (int vm = 1; vm < size; vm++) {
                    send(0, vm, attempt * RETRY_INTERVAL_MILLIS);
                    reached += knownAt[vm] < Double.MAX_VALUE ? 1 : 0;
                }
                if (reached + 1 > size / 2) {
                    return;
                }
            }
        }

        /**
         * Sends the change along a tree that has the VMs in random order, so that two trees have
         * few inner nodes in common.
         */
        private void sendAlongTree() {
            List<Integer> order = new ArrayList<>();
            for (int vm = 1; vm < size; vm++) {
                order.add(vm);
            }
            Collections.shuffle(order, random);
            order.add(0, 0);
            double[] arrival = new double[size];
            java.util.Arrays.fill(arrival, Double.MAX_VALUE);
            arrival[0] = 0;
            for (int position = 1; position < size; position++) {
                int parent = order.get((position - 1) / TREE_DEGREE);
                int child = order.get(position);
                if (arrival[parent] < Double.MAX_VALUE && send(parent, child, arrival[parent])) {
                    arrival[child] = arrival[parent] + 3 * MILLI;
                }
            }
        }

        private boolean send(int from, int to, double at) {
            messages++;
            sentBy[from]++;
            if (random.nextDouble() < LOSS_RATE) {
                return false;
            }
            knownAt[to] = Math.min(knownAt[to], at + 1 + random.nextInt(5));
            return true;
        }

        private void probeUntilAllKnow() {
            double[] offset = random.doubles(size, 0, PROBE_PERIOD_MILLIS).toArray();
            for (double round = 0; isUnknownAt(round); round += PROBE_PERIOD_MILLIS) {
                for (int vm = 0; vm < size; vm++) {
                    for (int probe = 0; probe < PROBES_PER_ROUND; probe++) {
                        pull(vm, random.nextInt(size), round + offset[vm]);
                    }
                }
            }
        }

        private boolean isUnknownAt(double time) {
            for (double learnedAt : knownAt) {
                if (learnedAt > time) {
                    return true;
                }
            }
            return false;
        }

        /**
         * Sends a probe and its response. Counts them as messages only if they deliver the change.
         */
        private void pull(int vm, int peer, double at) {
            boolean lost = random.nextDouble() < 1 - (1 - LOSS_RATE) * (1 - LOSS_RATE);
            double arrivalAtPeer = at + 1 + random.nextInt(5);
            if (!lost && knownAt[peer] <= arrivalAtPeer && knownAt[vm] > arrivalAtPeer) {
                messages += 2;
                sentBy[peer]++;
                knownAt[vm] = Math.min(knownAt[vm], arrivalAtPeer + 1 + random.nextInt(5));
            }
        }
    }
}
