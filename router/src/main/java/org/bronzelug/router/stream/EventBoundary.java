package org.bronzelug.router.stream;

import io.netty.buffer.ByteBuf;

/**
 * Finds the ends of server-sent events (text/event-stream) in a stream of bytes. A line ends with
 * LF, CR LF or CR, and a blank line ends an event.
 *
 * <p>Invariant: the position does not depend on how the stream is split into buffers. Confined to
 * the traffic thread.
 */
public final class EventBoundary {
    /** Where the bytes scanned so far end. */
    public enum Position {
        BEFORE_FIRST_EVENT,
        AFTER_EVENT,
        WITHIN_EVENT
    }

    private Position position;
    private boolean lineBlank;
    private boolean afterCarriageReturn;

    public EventBoundary() {
        restart();
    }

    /** Starts over with the first bytes of a response. */
    public void restart() {
        position = Position.BEFORE_FIRST_EVENT;
        lineBlank = true;
        afterCarriageReturn = false;
    }

    /** Returns where the bytes scanned so far end. */
    public Position position() {
        return position;
    }

    /** Scans all readable bytes of a buffer, and leaves its reader index unchanged. */
    public void scanAll(ByteBuf data) {
        int from = data.readerIndex();
        while (from >= 0) {
            from = scan(data, from, data.writerIndex());
        }
    }

    /**
     * Scans bytes up to the end of an event.
     *
     * @return the index after the event; -1 if the bytes contain no end of an event
     */
    public int scan(ByteBuf data, int from, int to) {
        for (int index = from; index < to; index++) {
            byte next = data.getByte(index);
            boolean secondOfLineEnd = afterCarriageReturn && next == '\n';
            afterCarriageReturn = next == '\r';
            if (secondOfLineEnd) {
                continue;
            }
            boolean lineEnd = next == '\n' || next == '\r';
            boolean eventEnd = lineEnd && lineBlank && position == Position.WITHIN_EVENT;
            if (!lineEnd) {
                position = Position.WITHIN_EVENT;
            }
            lineBlank = lineEnd;
            if (eventEnd) {
                position = Position.AFTER_EVENT;
                return endOfLineEnd(data, index, to);
            }
        }
        return -1;
    }

    /** Returns the index after a line end, which may be the first byte of CR LF. */
    private int endOfLineEnd(ByteBuf data, int index, int to) {
        int after = index + 1;
        if (afterCarriageReturn && after < to && data.getByte(after) == '\n') {
            afterCarriageReturn = false;
            return after + 1;
        }
        return after;
    }
}
