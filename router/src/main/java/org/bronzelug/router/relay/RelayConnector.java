package org.bronzelug.router.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.bronzelug.core.path.RelayPeer;
import org.bronzelug.router.http.SocketSettings;

/**
 * Opens connections to endpoints through other VMs. Confined to the traffic thread, on which the
 * listeners are called.
 */
public final class RelayConnector {
    /** Two link delays to the VM, two to the endpoint and its time to accept, with a margin. */
    private static final int RESPONSE_MILLIS = 250;

    private final EventLoop traffic;

    public RelayConnector(EventLoop traffic) {
        this.traffic = traffic;
    }

    /** Is notified once of the outcome of one attempt. */
    public interface Listener {
        /** Called with a channel that carries the endpoint's bytes in both directions. */
        void onConnected(Channel channel);

        /** Called if the VM responded that it can't connect to the endpoint. */
        void onRefused(String cause);

        /** Called if the VM did not respond. */
        void onUnreachable(String cause);
    }

    /** Asks a VM to connect to an endpoint. */
    public void connect(RelayPeer peer, RelayTarget target, Listener listener) {
        RelayClientHandler handler = new RelayClientHandler(target, listener, RESPONSE_MILLIS);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(traffic)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, RESPONSE_MILLIS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        RelayFraming.addToClient(channel.pipeline());
                                        channel.pipeline().addLast(handler);
                                    }
                                });
        SocketSettings.enableKeepAlive(bootstrap);
        bootstrap
                .connect(SocketSettings.address(peer.address()))
                .addListener(
                        (ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                listener.onUnreachable(
                                        String.valueOf(connected.cause().getMessage()));
                            }
                        });
    }
}
