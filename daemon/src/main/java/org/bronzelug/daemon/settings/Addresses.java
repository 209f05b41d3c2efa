package org.bronzelug.daemon.settings;

import java.net.InetSocketAddress;

/** Addresses in the form "IP number:port". Stateless and thread-safe. */
public final class Addresses {
    private Addresses() {}

    /** Reads an address that the settings reader has checked. */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    /** The same IP number with another port. */
    public static String withPort(String address, int port) {
        return address.substring(0, address.lastIndexOf(':') + 1) + port;
    }
}
