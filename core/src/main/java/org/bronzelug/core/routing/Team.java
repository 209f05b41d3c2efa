package org.bronzelug.core.routing;

import java.util.OptionalInt;

/**
 * A team with its rate and priority; API keys belong to a team. Immutable.
 *
 * @param name the name that is sent to endpoints
 * @param priority takes precedence over the route's priority, if present
 * @param tokensPerSecond rate over all VMs together; 0 for no limit
 * @param burstTokens tokens that may be used at once in addition
 * @param plainTokens tokens that are charged for a request without a token count
 * @param dedicated whether the team shares no cache entry with any other team
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

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public boolean equals(Object object) {
        return object instanceof Team other
                && name.equals(other.name)
                && priority.equals(other.priority)
                && tokensPerSecond == other.tokensPerSecond
                && burstTokens == other.burstTokens
                && plainTokens == other.plainTokens
                && dedicated == other.dedicated;
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public String toString() {
        return "Team[name="
                + name
                + (", priority=" + priority)
                + (", tokensPerSecond=" + tokensPerSecond)
                + (", burstTokens=" + burstTokens)
                + (", plainTokens=" + plainTokens)
                + (", dedicated=" + dedicated)
                + "]";
    }
}
