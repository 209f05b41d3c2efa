package org.bronzelug.daemon.settings;

import java.net.InetSocketAddress;

/** Reads and changes addresses of the form {@code IP:port}. Stateless and thread-safe. */
public final class Addresses {
    private Addresses() {}

    /** Parses an address that {@link SettingsReader} has checked. */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    /** Returns an address with the same IP address and another port. */
    public static String withPort(String address, int port) {
        return address.substring(0, address.lastIndexOf(':') + 1) + port;
    }
}
