package org.bronzelug.daemon.generate;

/**
 * How a generation ended.
 *
 * @param chunks the number of the last chunk plus one
 * @param cachedTokens prompt tokens that the last attempt found cached
 */
public record GenerationResult(
        int chunks, int promptTokens, int cachedTokens, String runner, int attempts) {}
