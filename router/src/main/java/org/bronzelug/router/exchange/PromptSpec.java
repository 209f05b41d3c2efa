package org.bronzelug.router.exchange;

import java.util.List;
import org.bronzelug.core.placement.PromptPart;

/**
 * What is to be generated. Immutable.
 *
 * @param model that generates
 * @param inputTokens of the prompt
 * @param outputTokens at most
 * @param parts of the prompt in order; the last one is the request's own or its session's
 */
public record PromptSpec(String model, int inputTokens, int outputTokens, List<PromptPart> parts) {
    public PromptSpec {
        parts = List.copyOf(parts);
    }

    /** What counts against the team's rate. */
    public int totalTokens() {
        return inputTokens + outputTokens;
    }
}
