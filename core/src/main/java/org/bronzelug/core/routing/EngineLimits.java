package org.bronzelug.core.routing;

/**
 * What a model engine bears. Immutable.
 *
 * @param slots requests in one batch
 * @param cacheTokens memory for running requests and cached prefixes, in tokens
 * @param cacheTokenBytes size of one token's entries, in bytes
 */
public record EngineLimits(int slots, long cacheTokens, long cacheTokenBytes) {}
