package org.bronzelug.core.placement;

import java.util.List;
import java.util.Random;

/** Draws the prompts of {@link GoalSeparationReplay}. */
final class ReplayedPrompts {
    private static final int PREFIXES = 160;

    private final Random random;

    ReplayedPrompts(Random random) {
        this.random = random;
    }

    PrefixChain next(boolean isLong) {
        int prefix = random.nextInt(isLong ? PREFIXES : 20);
        PromptPart own = new PromptPart("own-" + random.nextLong(), isLong ? 2_890 : 628);
        return PrefixChain.ofParts(
                "model",
                isLong
                        ? List.of(
                                new PromptPart("root-" + prefix % 4, 2_520),
                                new PromptPart("prefix-" + prefix, 3_780),
                                own)
                        : List.of(new PromptPart("short-" + prefix, 198), own));
    }
}
