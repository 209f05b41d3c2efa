package org.bronzelug.measure;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Runs the README's first command, which starts the whole system as separate processes, and checks
 * the output of each step.
 */
class QuickstartTest {
    @Test
    void everyStepPrintsItsExpectedResult() throws Exception {
        Path root = Path.of(System.getProperty("bronzelug.root"));
        Process quickstart =
                new ProcessBuilder(root.resolve("quickstart").toString())
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .start();
        String printed =
                new String(quickstart.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertWithMessage(printed).that(quickstart.waitFor()).isEqualTo(0);
        assertThat(printed).contains("team/buchhandel is at version");
        assertThat(printed).containsMatch("vm-\\d zone-[ab] 127\\.0\\.0\\.1:\\d+");
        assertThat(printed).contains("0 of 1264 prompt tokens cached");
        assertThat(printed).contains("1260 of 1264 prompt tokens cached");
        assertThat(printed).contains("RAN: run 1 of refund");
        assertThat(printed).contains("RAN before, answered again: run 1 of refund");
        assertThat(printed).doesNotContain("run 2 of refund");
        assertThat(printed).contains("KEY_REFUSED");
        assertThat(printed).contains("stopping gracefully");
    }
}
