package org.bronzelug.router.exchange;

import java.util.List;
import org.bronzelug.core.placement.PromptPart;

/**
 * The prompt of a request for generated tokens. Immutable.
 *
 * @param model name of the model
 * @param inputTokens number of tokens of the prompt
 * @param outputTokens maximum number of tokens to generate
 * @param parts the parts of the prompt in order; the last part belongs to the request alone or to
 *     its session
 */
public record PromptSpec(String model, int inputTokens, int outputTokens, List<PromptPart> parts) {
    public PromptSpec {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other requests may share: all but the last one. */
    public List<PromptPart> sharedParts() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /** Returns the number of tokens that are charged to the team's rate. */
    public int totalTokens() {
        return inputTokens + outputTokens;
    }
}
