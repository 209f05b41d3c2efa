package org.bronzelug.core.membership;

import java.util.Optional;

/**
 * One life of a VM: its name from the settings and an incarnation drawn anew at each start.
 *
 * <p>Immutable. Two processes never share an incarnation (64 random bits), so a paused VM that
 * wakes after its replacement started is told apart from it.
 */
public record MemberIdentity(String vm, String incarnation) {
    /** Reads the text form; empty where the text is not one. */
    public static Optional<MemberIdentity> parse(String text) {
        int dot = text.lastIndexOf('.');
        return dot > 0
                ? Optional.of(new MemberIdentity(text.substring(0, dot), text.substring(dot + 1)))
                : Optional.empty();
    }

    @Override
    public String toString() {
        return vm + "." + incarnation;
    }
}
