package org.bronzelug.router.ingress;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.Optional;

/**
 * The part of a connection's complete responses that is not yet sent, since the caller reads
 * slowly. Confined to the traffic thread.
 */
final class UnsentResponse {
    private final Channel channel;
    private Optional<ChannelFuture> lastWrite = Optional.empty();
    private long remainingBytes;

    UnsentResponse(Channel channel) {
        this.channel = channel;
    }

    /** Records the write of a response's end, or a later one. */
    void begin(ChannelFuture written) {
        lastWrite = Optional.of(written);
        remainingBytes = countRemainingBytes();
    }

    /** Returns whether a part of a response is not yet sent. */
    boolean isPending() {
        return lastWrite.filter(written -> !written.isDone()).isPresent();
    }

    /** Runs an action when everything written so far has been sent, or can't be. */
    void whenSent(Runnable action) {
        lastWrite.ifPresent(written -> written.addListener(sent -> action.run()));
    }

    /** Returns whether the number of unsent bytes has changed since the last write or call. */
    boolean hasProgressed() {
        long remaining = countRemainingBytes();
        boolean progressed = remaining != remainingBytes;
        remainingBytes = remaining;
        return progressed;
    }

    private long countRemainingBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }
}
