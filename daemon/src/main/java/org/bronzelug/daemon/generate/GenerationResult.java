package org.bronzelug.daemon.generate;

/**
 * The result of a complete generation.
 *
 * @param chunks the number of the last chunk plus one
 * @param cachedTokens the prompt tokens that the last attempt found in the runner's cache
 */
public record GenerationResult(
        int chunks, int promptTokens, int cachedTokens, String runner, int attempts) {}
