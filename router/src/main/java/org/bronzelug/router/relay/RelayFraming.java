package org.bronzelug.router.relay;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * The framing of relayed connections. Each frame is a length and as many bytes: first a request and
 * a response in protobuf, then the bytes that the endpoint sends or gets.
 *
 * <p>An empty frame states that the endpoint has closed its connection in an orderly way. Without
 * it, a response that ends with its connection would look complete when a VM dies that relays it.
 */
final class RelayFraming {
    private static final int LENGTH_BYTES = 4;

    /** Larger than a request's body, which is one frame and which the ingress bounds. */
    private static final int MAXIMUM_REQUEST_FRAME_BYTES = 64 * 1_048_576;

    /** Larger than what a VM reads from an endpoint at once, which is one frame. */
    private static final int MAXIMUM_RESPONSE_FRAME_BYTES = 1_048_576;

    private RelayFraming() {}

    /** Adds the framing at the VM that relays connections. */
    static void addToServer(ChannelPipeline pipeline) {
        add(pipeline, MAXIMUM_REQUEST_FRAME_BYTES);
    }

    /** Adds the framing at the VM that uses a relayed connection. */
    static void addToClient(ChannelPipeline pipeline) {
        add(pipeline, MAXIMUM_RESPONSE_FRAME_BYTES);
    }

    private static void add(ChannelPipeline pipeline, int maximumFrameBytes) {
        pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                maximumFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }
}
