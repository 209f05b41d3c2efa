package org.bronzelug.router.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;

/** Socket options of the connections that this process opens. Stateless and thread-safe. */
public final class SocketSettings {
    /**
     * Timeout for opening a connection. This takes two link delays of milliseconds; TCP resends a
     * lost packet after 1 s.
     */
    public static final int CONNECT_MILLIS = 1_200;

    /**
     * Seconds without traffic until the kernel probes a connection, and between the probes. A
     * machine that lost its power never closes its connections, so without probes a request to it
     * would wait until its deadline. A dead connection is detected after three seconds in all; the
     * kernel's smallest unit is a second.
     */
    private static final int PROBE_SECONDS = 1;

    private static final int PROBES = 2;

    private SocketSettings() {}

    /** Makes the kernel probe idle connections, and disables delays of small writes. */
    public static void enableKeepAlive(Bootstrap bootstrap) {
        bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }

    /** As {@link #enableKeepAlive(Bootstrap)}, for the connections that a server accepts. */
    public static void enableKeepAlive(ServerBootstrap bootstrap) {
        bootstrap
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                .childOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }

    /** Returns the address with another port. */
    public static String withPort(String address, int port) {
        return address.substring(0, address.lastIndexOf(':') + 1) + port;
    }

    /** Returns the port of an address. */
    public static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Parses IP:port; an IP address needs no name lookup. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
