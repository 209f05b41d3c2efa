package org.bronzelug.core.membership;

import java.util.Optional;

/**
 * One incarnation of a VM: the name of the VM from its settings, and a random id generated at each
 * start of its daemon.
 *
 * <p>Immutable. An incarnation id has 64 random bits, so two processes never share one, and a
 * suspended VM that resumes after its replacement has started can be told apart from the
 * replacement.
 */
public record MemberIdentity(String vm, String incarnation) {
    /** Parses the text form {@code vm.incarnation}; returns empty if the text is malformed. */
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
