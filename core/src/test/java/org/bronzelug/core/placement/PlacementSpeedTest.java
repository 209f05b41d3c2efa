package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against costs that change for runners whose speed is not measured, and against a speed
 * that does not act on the time to prefill.
 */
class PlacementSpeedTest {
    private static final double NANOS_PER_TOKEN = 24_000;
    private static final double NANOS_PER_STREAM = 50_000;
    private static final double MISSING_WEIGHT = 3;
    private static final PlacementSettings SETTINGS =
            new PlacementSettings(
                    NANOS_PER_TOKEN, NANOS_PER_STREAM, MISSING_WEIGHT, Double.MAX_VALUE);

    private static Placement place(PrefixChain chain, RunnerLoad runner) {
        CacheEstimate empty = new CacheEstimate(1, 1, 0);
        return new PlacementPolicy(SETTINGS).choose(chain, List.of(runner), empty, 0).orElseThrow();
    }

    @Property(tries = 200, seed = "1")
    void theCostIsAsBeforeAtSpeedOneAndTheTimeToPrefillIsDividedByTheSpeed(@ForAll long seed) {
        Random random = new Random(seed);
        List<PromptPart> parts = new ArrayList<>();
        parts.add(new PromptPart("shared", 1));
        parts.add(new PromptPart("own", 1 + random.nextInt(9_000)));
        PrefixChain chain = PrefixChain.ofParts("model", parts);
        double queued = random.nextInt(50_000);
        int streams = random.nextInt(30);
        int missing = chain.tokens() - chain.deepestSharedLevel().tokens();
        double prefillNanos = (queued + missing * MISSING_WEIGHT) * NANOS_PER_TOKEN;
        double decodeNanos = streams * NANOS_PER_STREAM;
        Placement unmeasured = place(chain, new RunnerLoad("a", "i", queued, streams));
        assertThat(unmeasured.costNanos()).isEqualTo(prefillNanos + decodeNanos);
        double speed = 0.1 + random.nextDouble() * 9.9;
        Placement measured = place(chain, new RunnerLoad("a", "i", queued, streams, speed));
        assertThat(measured.costNanos()).isEqualTo(prefillNanos / speed + decodeNanos);
    }
}
