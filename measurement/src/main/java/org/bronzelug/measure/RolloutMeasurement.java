package org.bronzelug.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.bronzelug.core.rollout.ResponseCounts;
import org.bronzelug.core.rollout.RolloutEvidence;

/**
 * Compares ways to judge a software version on trial, over random rollouts: how often a bad version
 * is found within its permitted bad responses, how often a good one is called bad. Stateless.
 */
final class RolloutMeasurement {
    private static final int ROUTES = 4;
    private static final int RESPONSES = 400;
    private static final int PERMITTED_BAD_RESPONSES = 50;
    private static final int CURRENT_PER_TARGET = 9;
    private static final int SEEDS_PER_RUN = 100;

    private RolloutMeasurement() {}

    /** A way to judge a version from the counts of all routes. */
    private sealed interface Way {
        /** Sums of evidence on each route, by the production class. */
        record EvidenceByRoute() implements Way {}

        /** The same on all routes together. */
        record EvidencePooled() implements Way {}

        /**
         * A window of responses on each route, in which the rate of bad ones may exceed the current
         * version's by a fixed amount.
         */
        record Window(int responses, double excess) implements Way {}
    }

    /**
     * A rollout.
     *
     * @param currentRate rate of bad responses of the current version
     * @param badRate that of the target version on the routes that are affected
     * @param badFrom number of responses after which it turns bad
     * @param routes number of routes that are affected
     */
    private record Case(String name, double currentRate, double badRate, int badFrom, int routes) {}

    private static final List<Case> CASES =
            List.of(
                    new Case("good, 0 %", 0, 0, 0, 0),
                    new Case("good, 2 %", 0.02, 0.02, 0, 0),
                    new Case("good, 14 %", 0.14, 0.14, 0, 0),
                    new Case("bad at once, all routes, 30 %", 0.02, 0.3, 0, ROUTES),
                    new Case("bad late, all routes, 30 %", 0.02, 0.3, 200, ROUTES),
                    new Case("bad at once, one route, 50 %", 0.02, 0.5, 0, 1),
                    new Case("bad late, one route, 50 %", 0.02, 0.5, 200, 1),
                    new Case("bad at once, one route, 60 % of 14 %", 0.14, 0.6, 0, 1));

    private static final List<Way> WAYS =
            List.of(
                    new Way.EvidenceByRoute(),
                    new Way.EvidencePooled(),
                    new Way.Window(10, 0.25),
                    new Way.Window(20, 0.25),
                    new Way.Window(40, 0.15));

    static void run(PrintStream out, int seeds) {
        int runs = seeds * SEEDS_PER_RUN;
        out.printf("%-38s", "called bad, of 100 rollouts");
        WAYS.forEach(way -> out.printf(" %28s", way));
        out.println();
        for (Case rollout : CASES) {
            out.printf("%-38s", rollout.name());
            for (Way way : WAYS) {
                int found = 0;
                for (int seed = 0; seed < runs; seed++) {
                    found += isFoundInTime(rollout, way, seed) ? 1 : 0;
                }
                out.printf(" %28.1f", 100.0 * found / runs);
            }
            out.println();
        }
    }

    /** Returns whether the version is called bad within its permitted bad responses. */
    private static boolean isFoundInTime(Case rollout, Way way, long seed) {
        Random random = new Random(seed);
        List<List<ResponseCounts>> history = new ArrayList<>();
        for (int route = 0; route < ROUTES; route++) {
            history.add(new ArrayList<>(List.of(ResponseCounts.NONE)));
        }
        RolloutEvidence evidence = new RolloutEvidence();
        int badResponses = 0;
        for (int response = 0; response < RESPONSES; response++) {
            int route = response % ROUTES;
            boolean affected = route < rollout.routes() && response >= rollout.badFrom();
            ResponseCounts sample =
                    sample(
                            rollout.currentRate(),
                            affected ? rollout.badRate() : rollout.currentRate(),
                            random);
            badResponses += affected ? (int) sample.targetBad() : 0;
            List<ResponseCounts> counts = history.get(route);
            counts.add(counts.get(counts.size() - 1).plus(sample));
            if (isBad(way, history, route, evidence)) {
                return badResponses <= PERMITTED_BAD_RESPONSES;
            }
        }
        return false;
    }

    private static ResponseCounts sample(double currentRate, double targetRate, Random random) {
        int currentBad = 0;
        for (int index = 0; index < CURRENT_PER_TARGET; index++) {
            currentBad += random.nextDouble() < currentRate ? 1 : 0;
        }
        int targetBad = random.nextDouble() < targetRate ? 1 : 0;
        return new ResponseCounts(CURRENT_PER_TARGET, currentBad, 1, targetBad, 0);
    }

    private static boolean isBad(
            Way way, List<List<ResponseCounts>> history, int route, RolloutEvidence evidence) {
        return switch (way) {
            case Way.EvidenceByRoute byRoute -> {
                evidence.record("route-" + route, last(history.get(route)));
                yield evidence.isBad();
            }
            case Way.EvidencePooled pooled -> {
                ResponseCounts all = ResponseCounts.NONE;
                for (List<ResponseCounts> counts : history) {
                    all = all.plus(last(counts));
                }
                evidence.record("all", all);
                yield evidence.isBad();
            }
            case Way.Window window -> exceeds(window, history.get(route));
        };
    }

    private static ResponseCounts last(List<ResponseCounts> counts) {
        return counts.get(counts.size() - 1);
    }

    private static boolean exceeds(Way.Window window, List<ResponseCounts> counts) {
        OptionalInt start =
                counts.size() > window.responses()
                        ? OptionalInt.of(counts.size() - 1 - window.responses())
                        : OptionalInt.empty();
        if (start.isEmpty()) {
            return false;
        }
        ResponseCounts before = counts.get(start.getAsInt());
        ResponseCounts now = last(counts);
        double targetRate = (double) (now.targetBad() - before.targetBad()) / window.responses();
        double currentRate =
                (double) (now.currentBad() - before.currentBad())
                        / (now.current() - before.current());
        return targetRate > currentRate + window.excess();
    }
}
