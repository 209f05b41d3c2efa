package org.bronzelug.router.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import org.bronzelug.router.http.StatusLineScanner;

/**
 * Finds the head of another response within a body. A body that was cut off looks whole if the
 * endpoint's next response on the connection fills it up to its length.
 *
 * <p>A body may quote a status line, or a whole response, so that the fields of the head have to
 * tell whether it is one.
 *
 * <p>Invariant: a body without a status line is not copied, and of others no more than the largest
 * head is. Confined to the traffic thread.
 */
final class EmbeddedHeadScanner {
    private static final int MAXIMUM_HEAD_BYTES = 8_192;

    /** Stands for the status line that was found, since only the fields count. */
    private static final byte[] STATUS_LINE = "HTTP/1.1 200".getBytes(StandardCharsets.ISO_8859_1);

    /** Ends a head that the body cuts off. */
    private static final byte[] END = "\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final StatusLineScanner statusLines = new StatusLineScanner();
    private final ByteArrayOutputStream afterStatusLine = new ByteArrayOutputStream(0);
    private boolean grown;

    /** Scans the readable bytes of the next part, and doesn't consume them. */
    void scan(ByteBuf part) {
        int index = part.readerIndex();
        int next = statusLines.next(part, index);
        while (next >= 0) {
            afterStatusLine.reset();
            index = next;
            next = statusLines.next(part, index);
        }
        if (hasStatusLine()) {
            int room = MAXIMUM_HEAD_BYTES - afterStatusLine.size();
            int length = Math.min(room, part.writerIndex() - index);
            byte[] bytes = new byte[length];
            part.getBytes(index, bytes);
            afterStatusLine.writeBytes(bytes);
            grown |= length > 0;
        }
    }

    /** Returns whether the body has a status line within. */
    boolean hasStatusLine() {
        return statusLines.hasFound();
    }

    /**
     * Returns whether the last status line begins the head of a response of a kind.
     *
     * @param last whether the body ends, and may have cut off the head
     */
    boolean hasHead(Predicate<HttpResponse> kind, boolean last) {
        if (!grown && !(last && hasStatusLine())) {
            return false;
        }
        grown = false;
        byte[] end = last ? END : new byte[0];
        EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
        try {
            channel.writeInbound(
                    Unpooled.wrappedBuffer(STATUS_LINE, afterStatusLine.toByteArray(), end));
            return channel.readInbound() instanceof HttpResponse head
                    && head.decoderResult().isSuccess()
                    && kind.test(head);
        } finally {
            channel.finishAndReleaseAll();
        }
    }
}
