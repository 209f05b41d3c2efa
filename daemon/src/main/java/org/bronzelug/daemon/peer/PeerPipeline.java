package org.bronzelug.daemon.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.Supplier;
import org.bronzelug.api.peer.Envelope;

/**
 * Sets up the channel pipeline of a peer connection. A frame is a length of four bytes, then one
 * {@link Envelope}.
 *
 * <p>An oversized or malformed frame fails in the decoder and closes only its own connection.
 * Immutable and thread-safe.
 */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {
    private static final int LENGTH_BYTES = 4;

    private final int maximumFrameBytes;
    private final Supplier<ChannelHandler> handlerSupplier;

    PeerPipeline(int maximumFrameBytes, Supplier<ChannelHandler> handlerSupplier) {
        this.maximumFrameBytes = maximumFrameBytes;
        this.handlerSupplier = handlerSupplier;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                maximumFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufEncoder())
                .addLast(handlerSupplier.get());
    }
}
