package org.bronzelug.core.limit;

/**
 * A team's token bucket parameters for the whole fleet. Immutable.
 *
 * @param tokensPerSecond metered tokens that accrue per second
 * @param burstTokens metered tokens that may be used at once
 */
public record TeamRate(double tokensPerSecond, double burstTokens) {}
