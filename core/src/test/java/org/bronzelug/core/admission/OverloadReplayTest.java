package org.bronzelug.core.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.bronzelug.core.admission.OverloadedFleet.Decision;
import org.bronzelug.core.admission.OverloadedFleet.Prompt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a team losing requests to the burst of another one: the present decisions reject
 * prompts under overload without regard to their team.
 */
final class OverloadReplayTest {
    private static final int VMS = 90;

    private record Result(double value, double within, double worst, double large, double beyond) {
        static Result of(Decision decision, long seed) {
            List<Prompt> prompts = new OverloadedFleet(decision, VMS, seed).run();
            double worst =
                    IntStream.range(0, OverloadedFleet.TEAMS)
                            .filter(OverloadedFleet::isWithinShare)
                            .mapToDouble(team -> served(prompts, p -> p.team == team))
                            .min()
                            .orElseThrow();
            Result result =
                    new Result(
                            prompts.stream().mapToDouble(Prompt::value).average().orElseThrow(),
                            onTime(prompts, p -> OverloadedFleet.isWithinShare(p.team)),
                            worst,
                            served(prompts, p -> p.team == 0),
                            served(prompts, p -> p.team > 7));
            System.out.println(
                    String.format(
                            Locale.ROOT,
                            "%-8s seed %d: value %.3f; within share: on time %.3f (long %.3f, short"
                                    + " %.3f), served in the worst team %.3f; served: large team"
                                    + " %.3f, others beyond share %.3f; long %.3f short %.3f",
                            decision,
                            seed,
                            result.value,
                            result.within,
                            onTime(
                                    prompts,
                                    p ->
                                            OverloadedFleet.isWithinShare(p.team)
                                                    && p.kind == OverloadedFleet.LONG),
                            onTime(
                                    prompts,
                                    p ->
                                            OverloadedFleet.isWithinShare(p.team)
                                                    && p.kind == OverloadedFleet.SHORT),
                            worst,
                            result.large,
                            result.beyond,
                            served(prompts, p -> p.kind == OverloadedFleet.LONG),
                            served(prompts, p -> p.kind == OverloadedFleet.SHORT)));
            return result;
        }
    }

    private static double onTime(List<Prompt> prompts, Predicate<Prompt> filter) {
        return prompts.stream()
                .filter(filter)
                .mapToInt(prompt -> prompt.isOnTime() ? 1 : 0)
                .average()
                .orElseThrow();
    }

    private static double served(List<Prompt> prompts, Predicate<Prompt> filter) {
        return prompts.stream()
                .filter(filter)
                .mapToInt(prompt -> prompt.begun > 0 ? 1 : 0)
                .average()
                .orElseThrow();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void teamsWithinTheirShareLoseLittleToTheOthers(long seed) {
        Result present = Result.of(Decision.PRESENT, seed);
        Result now = Result.of(Decision.NEW, seed);
        Result perfect = Result.of(Decision.PERFECT, seed);
        double lost = (1 - now.worst) / (1 - present.worst);
        assertWithMessage("requests lost by the worst team within its share")
                .that(lost)
                .isAtMost(0.5);
        assertWithMessage("worst team within share").that(now.worst).isAtLeast(0.9);
        assertWithMessage("value").that(now.value).isAtLeast(0.97 * present.value);
        assertWithMessage("large team").that(now.large).isAtLeast(0.25 * perfect.large);
    }
}
