package org.bronzelug.core.action;

import java.util.Optional;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * The id of one non-idempotent call. It names the owner: the one VM incarnation that may run the
 * call.
 *
 * <p>Text form {@code vm.incarnation.period.suffix}. The first three parts are the prefix: a VM
 * issues it, with itself as the owner, when a caller asks which VM to use. The caller appends the
 * suffix. Immutable.
 *
 * @param owner the owner
 * @param period number of the owner's period in which the prefix was issued
 * @param suffix the part that the caller chose
 */
public record ActionId(MemberIdentity owner, long period, String suffix) {
    /** The maximum length of the suffix, so that the memory of the ledger is bounded. */
    public static final int MAXIMUM_SUFFIX_LENGTH = 64;

    private static final int PARTS = 4;

    /** Parses an id; returns empty if the text is malformed. */
    public static Optional<ActionId> parse(String text) {
        String[] parts = text.split("\\.", PARTS);
        if (parts.length != PARTS
                || parts[3].isEmpty()
                || parts[3].length() > MAXIMUM_SUFFIX_LENGTH) {
            return Optional.empty();
        }
        try {
            MemberIdentity owner = new MemberIdentity(parts[0], parts[1]);
            return Optional.of(new ActionId(owner, Long.parseLong(parts[2]), parts[3]));
        } catch (NumberFormatException notANumber) {
            return Optional.empty();
        }
    }

    /** Returns the prefix to which a caller appends its suffix. */
    public static String prefix(MemberIdentity owner, long period) {
        return owner.vm() + "." + owner.incarnation() + "." + period + ".";
    }

    @Override
    public String toString() {
        return prefix(owner, period) + suffix;
    }
}
