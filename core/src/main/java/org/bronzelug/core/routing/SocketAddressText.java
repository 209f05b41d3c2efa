package org.bronzelug.core.routing;

import java.util.regex.Pattern;

/**
 * Checks addresses of the form IP:port, with an IPv4 address. A socket can be connected to a valid
 * one without a name lookup. Stateless and thread-safe.
 */
public final class SocketAddressText {
    private static final int MAXIMUM_PORT = 65_535;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern FORM =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}:[1-9][0-9]{0,4}");

    /** The address of no machine. */
    private static final String UNSPECIFIED = "0.0.0.0:";

    private SocketAddressText() {}

    /** Returns whether a text is an IPv4 address and a port from 1 to 65535. */
    public static boolean isValid(String text) {
        return FORM.matcher(text).matches()
                && !text.startsWith(UNSPECIFIED)
                && Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= MAXIMUM_PORT;
    }
}
