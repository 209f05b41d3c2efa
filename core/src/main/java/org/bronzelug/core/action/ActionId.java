package org.bronzelug.core.action;

import java.util.Optional;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * The id of one non-idempotent call: it names the one VM incarnation that may run it.
 *
 * <p>Text form {@code vm.incarnation.period.suffix}; the first three parts come from the VM that
 * was asked which VM to use, the suffix from the caller. Immutable.
 *
 * @param home the VM incarnation that alone may run the call
 * @param period number of the home's period in which the prefix was given out
 * @param suffix the caller's own part
 */
public record ActionId(MemberIdentity home, long period, String suffix) {
    /** Bound on the caller's part, so that the ledger's memory is bounded. */
    public static final int MAXIMUM_SUFFIX = 64;

    private static final int PARTS = 4;

    /** Reads an id; empty where the text is not one. */
    public static Optional<ActionId> parse(String text) {
        String[] parts = text.split("\\.", PARTS);
        if (parts.length != PARTS || parts[3].isEmpty() || parts[3].length() > MAXIMUM_SUFFIX) {
            return Optional.empty();
        }
        try {
            MemberIdentity home = new MemberIdentity(parts[0], parts[1]);
            return Optional.of(new ActionId(home, Long.parseLong(parts[2]), parts[3]));
        } catch (NumberFormatException notNumber) {
            return Optional.empty();
        }
    }

    /** What a caller puts before its suffix. */
    public static String prefix(MemberIdentity home, long period) {
        return home.vm() + "." + home.incarnation() + "." + period + ".";
    }

    @Override
    public String toString() {
        return prefix(home, period) + suffix;
    }
}
