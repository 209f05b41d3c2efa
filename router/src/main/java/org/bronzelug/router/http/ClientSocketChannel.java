package org.bronzelug.router.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.concurrent.TimeUnit;

/**
 * A TCP connection that this process opens, and that can tell an orderly close by the server from a
 * reset.
 *
 * <p>If a server closes its socket before it has read all that was sent, its kernel sends a FIN and
 * a reset behind it. Reads return the end of the stream in both cases, and a write may have been
 * accepted by the kernel long before. Thread-safe as any channel; {@link #verifyClose} must be
 * called on the event loop.
 */
public final class ClientSocketChannel extends NioSocketChannel {
    /** Time after a FIN within which a reset makes the close a failure. */
    private static final long RESET_MILLIS = 100;

    /** A server that has read the head of a request has usually read a body of this size, too. */
    private static final int READ_WITH_HEAD_BYTES = 16_384;

    /** Returns whether a server may respond to a request before it has read the whole body. */
    public static boolean isReadInParts(int bodyBytes) {
        return bodyBytes > READ_WITH_HEAD_BYTES;
    }

    /**
     * Verifies the server's close, of which the FIN was read. Calls one of the two on the event
     * loop.
     *
     * @param onOrderly called if all that was sent until now was accepted, and no reset has arrived
     *     a moment later
     * @param onReset called if the connection was reset, or closed by this process meanwhile
     */
    public void verifyClose(Runnable onOrderly, Runnable onReset) {
        // Completes once everything written before it was written to the socket.
        writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        (ChannelFuture written) -> {
                            if (written.isSuccess()) {
                                eventLoop()
                                        .schedule(
                                                () -> (isReset() ? onReset : onOrderly).run(),
                                                RESET_MILLIS,
                                                TimeUnit.MILLISECONDS);
                            } else {
                                onReset.run();
                            }
                        });
    }

    private boolean isReset() {
        if (!isOpen()) {
            return true;
        }
        // A connected channel is ready to connect only if an error is pending on its socket.
        try (Selector selector = Selector.open()) {
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException failed) {
            return true;
        }
    }
}
