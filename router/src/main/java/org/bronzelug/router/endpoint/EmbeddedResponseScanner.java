package org.bronzelug.router.endpoint;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.bronzelug.router.http.StatusLineScanner;

/**
 * Finds the head of a response to a request within a body. A body that was cut off looks whole if
 * the endpoint's next response on the connection fills it up to its length.
 *
 * <p>A body may quote a status line, or another request's response. It has a response to the
 * request within if a line behind a status line is a field with the request's id. Such a line ends
 * as those of heads do, and may be cut off by the end of the body. What else the head has does not
 * count, since it may be malformed, or be followed by further responses.
 *
 * <p>Invariant: each byte is read once, and at most one line is kept, up to the length of the
 * field. Confined to the traffic thread.
 */
final class EmbeddedResponseScanner {
    /** White space around the field's value, and the carriage return. */
    private static final int MAXIMUM_PADDING = 64;

    private static final char NAME_END = ':';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';

    private final String field;
    private final String requestId;
    private final int maximumLength;
    private final StatusLineScanner statusLines = new StatusLineScanner();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Whether the line before ended with a carriage return, too. */
    private boolean afterHeadLine;

    private byte previous;
    private boolean found;

    /**
     * @param field the name of the field that states the id of a response's request
     */
    EmbeddedResponseScanner(String field, String requestId) {
        this.field = field;
        this.requestId = requestId;
        maximumLength = field.length() + requestId.length() + MAXIMUM_PADDING;
    }

    /** Scans the readable bytes of the next part, and doesn't consume them. */
    void scan(ByteBuf part) {
        int index = part.readerIndex();
        if (!hasStatusLine()) {
            index = statusLines.next(part, index);
        }
        if (index >= 0 && !found) {
            part.forEachByte(index, part.writerIndex() - index, this::add);
        }
    }

    private boolean add(byte next) {
        if (next == LINE_FEED) {
            boolean isHeadLine = previous == CARRIAGE_RETURN;
            found = isHeadLine && isField();
            afterHeadLine = isHeadLine;
            line.reset();
        } else if (line.size() <= maximumLength) {
            line.write(next);
        }
        previous = next;
        return !found;
    }

    private boolean isField() {
        if (!afterHeadLine || line.size() > maximumLength) {
            return false;
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        int nameEnd = text.indexOf(NAME_END);
        return nameEnd >= 0
                && text.substring(0, nameEnd).equalsIgnoreCase(field)
                && text.substring(nameEnd + 1).strip().equals(requestId);
    }

    /** Returns whether the body has a status line within. */
    boolean hasStatusLine() {
        return statusLines.hasFound();
    }

    /**
     * Returns whether the body has a response to the request within.
     *
     * @param last whether the body ends, and may have cut off the field
     */
    boolean hasResponse(boolean last) {
        return found || (last && isField());
    }

    /**
     * Returns whether the body ends within a status line that the bytes behind it complete. Call
     * once, at the end of the body.
     */
    boolean isStatusLineCompletedBy(ByteBuf following) {
        return statusLines.isCompletedBy(following);
    }
}
