package org.bronzelug.router.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;

/** How connections that this process opens are set up. Stateless and thread-safe. */
public final class SocketSettings {
    /** A connection takes two link delays, milliseconds; a lost packet is sent again after 1 s. */
    public static final int CONNECT_MILLIS = 1_200;

    /**
     * Seconds of silence until the kernel probes a connection, and between its probes. A peer whose
     * machine is gone answers nothing: without probes a request would wait for it until its
     * deadline. Three seconds in all; the kernel's least unit is a second.
     */
    private static final int PROBE_SECONDS = 1;

    private static final int PROBES = 2;

    private SocketSettings() {}

    /** Has the kernel probe the connection while it is silent. */
    public static void keepAlive(Bootstrap bootstrap) {
        bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }

    /** Reads IP:PORT, without a name look-up. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
