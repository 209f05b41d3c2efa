package org.bronzelug.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * How one change of the configuration reaches all VMs, by three ways, over a lossy network in
 * virtual time: the shipped one (the writer pushes to all, probes level the rest), probes alone,
 * and two redundant trees with probes behind them. Stateless.
 *
 * <p>Redundant trees are an idea of Esposito, Cotroneo and Gokhale, "Reliable Publish/Subscribe
 * Middleware for Time-sensitive Internet-scale Applications".
 */
final class SpreadingMeasurement {
    private static final double MILLI = 1.0;
    private static final double PROBE_MILLIS = 200;
    private static final int PROBES_A_ROUND = 2;
    private static final double LOSS = 0.05;
    private static final int TREE_DEGREE = 8;
    private static final int ANNOUNCEMENT_TRIES = 6;
    private static final double RETRY_MILLIS = 450;

    private SpreadingMeasurement() {}

    /** The ways compared. */
    private enum Way {
        PUSH_TO_ALL,
        PROBES_ALONE,
        TWO_TREES
    }

    /** What one run cost. */
    private record Cost(double lastMillis, double messages, double mostByOneVm) {}

    static void run(PrintStream out, int seeds) {
        out.printf(
                "5 %% of messages lost, 1–5 ms each way, %d probes every %.0f ms; %d seeds%n",
                PROBES_A_ROUND, PROBE_MILLIS, seeds);
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
            costs.add(new Spreading(size, new Random(1_000 + seed)).run(way));
        }
        out.printf(
                "%-14s %6d %-28s %-28s %-24s%n",
                way.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
                size,
                Spread.of(costs.stream().map(Cost::lastMillis).toList()),
                Spread.of(costs.stream().map(Cost::messages).toList()),
                Spread.of(costs.stream().map(Cost::mostByOneVm).toList()));
    }

    /** One change on its way. */
    private static final class Spreading {
        private final int size;
        private final Random random;
        private final double[] knownAt;
        private final double[] sentBy;
        private double messages;

        private Spreading(int size, Random random) {
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
                    tree();
                    tree();
                }
                default -> {
                    // The probes below do it all.
                }
            }
            probeUntilAllKnow();
            double last = 0;
            double most = 0;
            for (int vm = 0; vm < size; vm++) {
                last = Math.max(last, knownAt[vm]);
                most = Math.max(most, sentBy[vm]);
            }
            return new Cost(last, messages, most);
        }

        private void pushToAll() {
            for (int attempt = 0; attempt < ANNOUNCEMENT_TRIES; attempt++) {
                int reached = 0;
                for (int vm = 1; vm < size; vm++) {
                    send(0, vm, attempt * RETRY_MILLIS);
                    reached += knownAt[vm] < Double.MAX_VALUE ? 1 : 0;
                }
                if (reached + 1 > size / 2) {
                    return;
                }
            }
        }

        /** A tree over the VMs in random order; two of them share few inner nodes. */
        private void tree() {
            List<Integer> order = new ArrayList<>();
            for (int vm = 1; vm < size; vm++) {
                order.add(vm);
            }
            Collections.shuffle(order, random);
            order.add(0, 0);
            double[] arrival = new double[size];
            java.util.Arrays.fill(arrival, Double.MAX_VALUE);
            arrival[0] = 0;
            for (int place = 1; place < size; place++) {
                int parent = order.get((place - 1) / TREE_DEGREE);
                int child = order.get(place);
                if (arrival[parent] < Double.MAX_VALUE && send(parent, child, arrival[parent])) {
                    arrival[child] = arrival[parent] + 3 * MILLI;
                }
            }
        }

        private boolean send(int from, int to, double at) {
            messages++;
            sentBy[from]++;
            if (random.nextDouble() < LOSS) {
                return false;
            }
            knownAt[to] = Math.min(knownAt[to], at + 1 + random.nextInt(5));
            return true;
        }

        private void probeUntilAllKnow() {
            double[] offset = random.doubles(size, 0, PROBE_MILLIS).toArray();
            for (double round = 0; unknownAt(round); round += PROBE_MILLIS) {
                for (int vm = 0; vm < size; vm++) {
                    for (int probe = 0; probe < PROBES_A_ROUND; probe++) {
                        pull(vm, random.nextInt(size), round + offset[vm]);
                    }
                }
            }
        }

        private boolean unknownAt(double time) {
            for (double known : knownAt) {
                if (known > time) {
                    return true;
                }
            }
            return false;
        }

        /** A probe and its answer; only those that bring the change are counted as messages. */
        private void pull(int vm, int peer, double at) {
            boolean lost = random.nextDouble() < 1 - (1 - LOSS) * (1 - LOSS);
            double there = at + 1 + random.nextInt(5);
            if (!lost && knownAt[peer] <= there && knownAt[vm] > there) {
                messages += 2;
                sentBy[peer]++;
                knownAt[vm] = Math.min(knownAt[vm], there + 1 + random.nextInt(5));
            }
        }
    }
}
