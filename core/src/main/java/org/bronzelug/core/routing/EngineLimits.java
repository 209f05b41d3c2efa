package org.bronzelug.core.routing;

/**
 * The capacity of a model engine. Immutable.
 *
 * @param slots maximum number of requests in one batch
 * @param cacheTokens memory for running requests and cached prefixes, in tokens
 * @param cacheTokenBytes size of the cache entries of one token, in bytes
 */
public record EngineLimits(int slots, long cacheTokens, long cacheTokenBytes) {}
