package org.bronzelug.router.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events (text/event-stream) into whole events.
 *
 * <p>Only whole events are returned; a partial one is dropped, and so is one whose id is not
 * greater than the last returned. Without this, a runner that stops in the middle of an event
 * leaves the caller with a partial event joined to a whole one when the stream continues at another
 * runner. Confined to the traffic thread.
 */
public final class EventSplitter {
    /** Maximum size of an event in bytes; an event without end would fill the memory. */
    private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

    private static final String ID_FIELD = "id:";

    /** Ids with so many digits or more may exceed a long. */
    private static final int MAXIMUM_ID_DIGITS = 18;

    private final EventBoundary boundary = new EventBoundary();
    private ByteBuf buffer = Unpooled.buffer();
    private int scannedBytes;
    private OptionalLong lastId = OptionalLong.empty();
    private boolean gap;

    /** Adds the bytes of a buffer and releases the buffer. */
    public void add(ByteBuf data) {
        buffer.writeBytes(data);
        data.release();
    }

    /** Returns whether the event that is being received exceeds the maximum size. */
    public boolean isEventTooLong() {
        return buffer.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    /** Returns the next whole event that was not returned before; empty until more bytes arrive. */
    public Optional<ByteBuf> next() {
        while (true) {
            int end = endOfEvent();
            if (end < 0) {
                buffer.discardReadBytes();
                return Optional.empty();
            }
            ByteBuf event = buffer.readBytes(end - buffer.readerIndex());
            OptionalLong id = idOf(event);
            if (id.isPresent() && lastId.isPresent() && id.getAsLong() <= lastId.getAsLong()) {
                event.release();
                continue;
            }
            gap |= isGap(id);
            if (id.isPresent() && !gap) {
                lastId = id;
            }
            return Optional.of(event);
        }
    }

    private boolean isGap(OptionalLong id) {
        return id.isPresent() && lastId.isPresent() && id.getAsLong() != lastId.getAsLong() + 1;
    }

    /** Returns whether an id is missing between the last two returned events. */
    public boolean hasGap() {
        return gap;
    }

    /** Returns the id of the last event that was returned without a gap before it. */
    public OptionalLong lastId() {
        return lastId;
    }

    /** Returns where the bytes end that the current runner has sent. */
    public EventBoundary.Position position() {
        return boundary.position();
    }

    /**
     * Drops the buffered bytes of a runner that will not complete the stream, with any gap in them.
     */
    public void dropBuffered() {
        buffer.clear();
        scannedBytes = 0;
        boundary.restart();
        gap = false;
    }

    public void release() {
        buffer.release();
        buffer = Unpooled.EMPTY_BUFFER;
    }

    private int endOfEvent() {
        int from = buffer.readerIndex() + scannedBytes;
        int end = boundary.scan(buffer, from, buffer.writerIndex());
        boolean blankLinesOnly =
                buffer.isReadable() && boundary.position() == EventBoundary.Position.AFTER_EVENT;
        if (end < 0 && blankLinesOnly) {
            end = buffer.writerIndex();
        }
        scannedBytes = end < 0 ? buffer.readableBytes() : 0;
        return end;
    }

    /**
     * Returns the id of an event: the number in its first id field. Compares bytes, since decoding
     * and splitting the text of each event was a large part of the work for a stream.
     */
    private static OptionalLong idOf(ByteBuf event) {
        int start = event.readerIndex();
        int end = event.writerIndex();
        while (start < end) {
            int lineEnd = endOfLine(event, start, end);
            if (isIdField(event, start, lineEnd)) {
                int length = lineEnd - start - ID_FIELD.length();
                String id =
                        event.toString(start + ID_FIELD.length(), length, StandardCharsets.UTF_8);
                return parseId(id.strip());
            }
            start = lineEnd + 1;
        }
        return OptionalLong.empty();
    }

    private static int endOfLine(ByteBuf event, int start, int end) {
        int index = start;
        while (index < end && event.getByte(index) != '\r' && event.getByte(index) != '\n') {
            index++;
        }
        return index;
    }

    private static boolean isIdField(ByteBuf event, int start, int lineEnd) {
        if (lineEnd - start < ID_FIELD.length()) {
            return false;
        }
        for (int offset = 0; offset < ID_FIELD.length(); offset++) {
            if (event.getByte(start + offset) != ID_FIELD.charAt(offset)) {
                return false;
            }
        }
        return true;
    }

    private static OptionalLong parseId(String text) {
        if (text.isEmpty() || text.length() >= MAXIMUM_ID_DIGITS) {
            return OptionalLong.empty();
        }
        for (int index = 0; index < text.length(); index++) {
            if (!Character.isDigit(text.charAt(index))) {
                return OptionalLong.empty();
            }
        }
        return OptionalLong.of(Long.parseLong(text));
    }
}
