package org.bronzelug.core.poison;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a fleet that sends on a part that crashes endpoints, or that quarantines sound
 * parts. The property {@code model.seeds} sets the number of draws, and has each load's figures
 * printed.
 */
class PoisonFleetTest {
    private static final String SEEDS_PROPERTY = "model.seeds";
    private static final int SEEDS = Integer.getInteger(SEEDS_PROPERTY, 10);

    /** A large fleet takes much longer to simulate. */
    private static final int LARGE_FLEET_VMS = 13;

    private static final long RUN_MILLIS = 20_000;
    private static final int ALLOWED_SENDS_AFTER_BOUND = 3;
    private static final int CRASHES_AIM = 5;

    private static List<PoisonFleetModel> play(PoisonFleetModel.Load load, boolean restart) {
        int seeds = load.vms() > LARGE_FLEET_VMS ? Math.max(1, SEEDS / 5) : SEEDS;
        List<PoisonFleetModel> plays = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            PoisonFleetModel fleet = new PoisonFleetModel(load, seed);
            fleet.run(RUN_MILLIS / 2);
            if (restart) {
                fleet.restartVms();
            }
            fleet.proceed(RUN_MILLIS);
            plays.add(fleet);
        }
        if (System.getProperty(SEEDS_PROPERTY) != null) {
            System.out.println(describe(load, plays));
        }
        return plays;
    }

    private static String describe(PoisonFleetModel.Load load, List<PoisonFleetModel> plays) {
        return load
                + distribution(" crashes", plays, PoisonFleetModel::poisonCrashes)
                + distribution(" at quarantine", plays, PoisonFleetModel::crashesAtQuarantine)
                + distribution(" late sends", plays, PoisonFleetModel::sendsAfterBound)
                + distribution(" false quarantines", plays, PoisonFleetModel::falseQuarantines)
                + distribution(" sound", plays, PoisonFleetModel::sound)
                + distribution(" rejected", plays, PoisonFleetModel::soundRejected)
                + distribution(" held", plays, PoisonFleetModel::soundHeld)
                + distribution(" longest hold", plays, PoisonFleetModel::longestHoldMillis);
    }

    /** Returns the least, median and greatest figure. */
    private static String distribution(
            String name, List<PoisonFleetModel> plays, ToLongFunction<PoisonFleetModel> figure) {
        List<Long> figures = new ArrayList<>();
        plays.forEach(play -> figures.add(figure.applyAsLong(play)));
        Collections.sort(figures);
        return name
                + "="
                + figures.get(0)
                + "/"
                + figures.get(figures.size() / 2)
                + "/"
                + figures.get(figures.size() - 1);
    }

    private static void assertBoundKept(PoisonFleetModel.Load load, List<PoisonFleetModel> plays) {
        for (PoisonFleetModel play : plays) {
            assertWithMessage("sends after the bound: %s", describe(load, plays))
                    .that(play.sendsAfterBound())
                    .isAtMost(ALLOWED_SENDS_AFTER_BOUND);
        }
    }

    static Stream<Arguments> poisoned() {
        return Stream.of(
                Arguments.of(new PoisonFleetModel.Load(7, 8, 45, 5, 0, 0)),
                Arguments.of(new PoisonFleetModel.Load(7, 8, 45, 1, 0, 0)),
                Arguments.of(new PoisonFleetModel.Load(95, 95, 300, 5, 0, 0)));
    }

    @ParameterizedTest
    @MethodSource("poisoned")
    void aPartCrashesFiveEndpointsAtMost(PoisonFleetModel.Load load) {
        List<PoisonFleetModel> plays = play(load, false);
        assertBoundKept(load, plays);
        for (PoisonFleetModel play : plays) {
            assertWithMessage("crashes: %s", describe(load, plays))
                    .that(play.poisonCrashes())
                    .isAtMost(CRASHES_AIM);
        }
    }

    @ParameterizedTest
    @MethodSource("poisoned")
    void thePartIsKnownAfterAllVmsHaveRestarted(PoisonFleetModel.Load load) {
        assertBoundKept(load, play(load, true));
    }

    static Stream<Arguments> poisonedInStorms() {
        return Stream.of(
                Arguments.of(new PoisonFleetModel.Load(7, 8, 45, 5, 0.5, 2)),
                Arguments.of(new PoisonFleetModel.Load(95, 95, 300, 5, 1, 5)));
    }

    @ParameterizedTest
    @MethodSource("poisonedInStorms")
    void thePartIsFoundBesideOtherCrashes(PoisonFleetModel.Load load) {
        assertBoundKept(load, play(load, false));
    }

    static Stream<Arguments> storms() {
        return Stream.of(
                Arguments.of(new PoisonFleetModel.Load(7, 8, 45, 0, 0.5, 2)),
                Arguments.of(new PoisonFleetModel.Load(7, 8, 45, 0, 3, 1)),
                Arguments.of(new PoisonFleetModel.Load(95, 95, 300, 0, 0.5, 24)),
                Arguments.of(new PoisonFleetModel.Load(95, 95, 300, 0, 10, 1)));
    }

    @ParameterizedTest
    @MethodSource("storms")
    void noSoundRequestIsRejectedInACrashStorm(PoisonFleetModel.Load load) {
        List<PoisonFleetModel> plays = play(load, false);
        for (PoisonFleetModel play : plays) {
            assertWithMessage("sound requests rejected: %s", describe(load, plays))
                    .that(play.soundRejected())
                    .isEqualTo(0);
        }
    }
}
