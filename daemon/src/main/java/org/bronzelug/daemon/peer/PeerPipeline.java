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
 * The frames of a peer connection: four bytes of length, then one envelope.
 *
 * <p>An oversized or malformed frame fails in the decoder and closes this connection only.
 * Immutable and thread-safe.
 */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {
    private static final int LENGTH_BYTES = 4;

    private final int maximumFrameBytes;
    private final Supplier<ChannelHandler> handlers;

    PeerPipeline(int maximumFrameBytes, Supplier<ChannelHandler> handlers) {
        this.maximumFrameBytes = maximumFrameBytes;
        this.handlers = handlers;
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
                .addLast(handlers.get());
    }
}
