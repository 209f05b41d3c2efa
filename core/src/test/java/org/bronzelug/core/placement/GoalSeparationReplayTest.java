package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import org.bronzelug.core.placement.GoalSeparationReplay.Form;
import org.bronzelug.core.placement.GoalSeparationReplay.Load;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against short prompts that are late behind long prompts with a four times longer goal, and
 * against a separation that makes the long prompts late instead. The replay prints the shares on
 * time, which docs/design/goal-separation.md cites.
 */
class GoalSeparationReplayTest {
    /** The shares on time by class, means of several seeds. */
    private record Shares(double tight, double relaxed) {}

    private static Shares replay(Form form, Load load) {
        int seeds = Integer.getInteger("goals.seeds", 2);
        double tight = 0;
        double relaxed = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            GoalSeparationReplay replay = new GoalSeparationReplay(form, load, seed).run();
            tight += replay.share(GoalClass.TIGHT) / seeds;
            relaxed += replay.share(GoalClass.RELAXED) / seeds;
        }
        System.out.printf("%s %s short %.3f long %.3f%n", form, load, tight, relaxed);
        return new Shares(tight, relaxed);
    }

    @ParameterizedTest
    @CsvSource({"42,8", "42,90", "8,90"})
    void halfAsManyShortPromptsAreLateWhilePromptsArePrefilledInOrder(int runners, int vms) {
        Load load = Load.of(runners, vms, true, true);
        Shares present = replay(Form.PRESENT, load);
        Shares separated = replay(Form.SEPARATED, load);
        Shares byCost = replay(Form.SEPARATED_BY_COST, load);
        Shares relaxedSized = replay(Form.RELAXED_SIZED, load);
        Shares perfect = replay(Form.PERFECT, load);
        assertThat(1 - separated.tight()).isLessThan((1 - present.tight()) / 2);
        assertThat(separated.relaxed()).isGreaterThan(0.95 * present.relaxed());
        assertThat(separated.tight()).isGreaterThan(byCost.tight());
        assertThat(separated.tight()).isGreaterThan(relaxedSized.tight());
        assertThat(separated.relaxed()).isGreaterThan(relaxedSized.relaxed());
        // Knows all prompts of the moment, but not those to come.
        assertThat(perfect.tight()).isAtLeast(separated.tight() - 0.01);
        assertThat(perfect.relaxed()).isAtLeast(separated.relaxed() - 0.01);
    }

    @ParameterizedTest
    @CsvSource({
        "42,8,false,false",
        "42,90,false,false",
        "42,90,false,true",
        "42,90,true,false",
        "8,8,true,true",
        "8,8,true,false",
        "8,90,true,false",
        "5,90,true,true",
        "3,90,true,true"
    })
    void neitherClassStarves(int runners, int vms, boolean loading, boolean inOrder) {
        Load load = Load.of(runners, vms, loading, inOrder);
        Shares present = replay(Form.PRESENT, load);
        Shares separated = replay(Form.SEPARATED, load);
        assertThat(separated.tight()).isAtLeast(present.tight() - 0.01);
        assertThat(separated.relaxed()).isAtLeast(0.9 * present.relaxed());
    }

    @ParameterizedTest
    @CsvSource({"42,90", "8,8"})
    void shortPromptsThatBeginInTheBurstOfLongOnesAreInTime(int runners, int vms) {
        Load load = Load.of(runners, vms, false, true).withShortFrom(8_000);
        Shares separated = replay(Form.SEPARATED, load);
        assertThat(separated.tight()).isAtLeast(replay(Form.PRESENT, load).tight());
    }

    @ParameterizedTest
    @CsvSource({"42,90", "42,8"})
    void separationHelpsWhileVmsDisagreeSinceHalfOfTheReportsAreLost(int runners, int vms) {
        Load load = Load.of(runners, vms, true, true).withLostReports(0.5);
        Shares present = replay(Form.PRESENT, load);
        Shares separated = replay(Form.SEPARATED, load);
        assertThat(separated.tight()).isAtLeast(present.tight());
        assertThat(separated.relaxed()).isAtLeast(0.9 * present.relaxed());
    }

    @ParameterizedTest
    @CsvSource({"42,90", "8,90"})
    void promptsAreServedAsWithoutSeparationWhenReportsStop(int runners, int vms) {
        Load load = Load.of(runners, vms, true, true).withSilenceFrom(6_000);
        Shares present = replay(Form.PRESENT, load);
        Shares separated = replay(Form.SEPARATED, load);
        assertThat(separated.tight()).isAtLeast(present.tight() - 0.01);
        assertThat(separated.relaxed()).isAtLeast(0.9 * present.relaxed());
    }
}
