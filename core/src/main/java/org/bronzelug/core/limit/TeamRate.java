package org.bronzelug.core.limit;

/**
 * What a team may use across the whole fleet.
 *
 * @param tokensPerSecond metered tokens per second, over time
 * @param burstTokens metered tokens at once
 */
public record TeamRate(double tokensPerSecond, double burstTokens) {}
