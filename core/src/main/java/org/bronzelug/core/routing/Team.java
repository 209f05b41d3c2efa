package org.bronzelug.core.routing;

import java.util.OptionalInt;

/**
 * Who holds keys and a rate. Immutable.
 *
 * @param name as endpoints are told it
 * @param priority goes before the route's, where present
 * @param tokensPerSecond over all VMs together; 0: no limit
 * @param burstTokens what may come at once on top
 * @param plainTokens what a request without a token count counts as
 * @param dedicated whether it shares no cache entry with any other team
 */
public record Team(
        String name,
        OptionalInt priority,
        long tokensPerSecond,
        long burstTokens,
        int plainTokens,
        boolean dedicated) {
    public boolean isLimited() {
        return tokensPerSecond > 0;
    }
}
