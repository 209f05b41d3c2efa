package org.bronzelug.router.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts a stream of events (text/event-stream) into whole ones.
 *
 * <p>The failure it prevents: a runner stops in the middle of an event, the stream goes on at
 * another runner, and the caller sees half an event joined to a whole one. Only whole events pass;
 * a half one is dropped, and so is one whose id has already passed. Confined to the traffic thread.
 */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private ByteBuf pending = Unpooled.buffer();
    private OptionalLong lastId = OptionalLong.empty();
    private boolean gap;

    /** Adds bytes as they arrive, and releases them. */
    public void add(ByteBuf data) {
        pending.writeBytes(data);
        data.release();
    }

    /** The next whole event that has not passed yet; empty until more arrives. */
    public Optional<ByteBuf> next() {
        while (true) {
            int end = endOfEvent();
            if (end < 0) {
                pending.discardReadBytes();
                return Optional.empty();
            }
            ByteBuf event = pending.readBytes(end - pending.readerIndex());
            OptionalLong id = idOf(event);
            if (id.isPresent() && lastId.isPresent() && id.getAsLong() <= lastId.getAsLong()) {
                event.release();
                continue;
            }
            gap |= isGap(id);
            lastId = id.isPresent() ? id : lastId;
            return Optional.of(event);
        }
    }

    private boolean isGap(OptionalLong id) {
        return id.isPresent() && lastId.isPresent() && id.getAsLong() != lastId.getAsLong() + 1;
    }

    /** Whether an event was missing between two that passed. */
    public boolean hasGap() {
        return gap;
    }

    /** The id of the last event that passed. */
    public OptionalLong lastId() {
        return lastId;
    }

    /** Whether half an event is held back. */
    public boolean holdsPart() {
        return pending.isReadable();
    }

    /** Forgets half an event: its runner is gone. */
    public void dropPart() {
        pending.clear();
    }

    public void release() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private int endOfEvent() {
        int from = pending.readerIndex();
        int to = pending.writerIndex();
        for (int index = from; index + 1 < to; index++) {
            if (pending.getByte(index) != '\n') {
                continue;
            }
            if (pending.getByte(index + 1) == '\n') {
                return index + 2;
            }
            boolean carriage = index + 2 < to && pending.getByte(index + 1) == '\r';
            if (carriage && pending.getByte(index + 2) == '\n') {
                return index + 3;
            }
        }
        return -1;
    }

    private static OptionalLong idOf(ByteBuf event) {
        String text = event.toString(StandardCharsets.UTF_8);
        for (String line : text.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                return number(line.substring(ID_FIELD.length()).strip());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong number(String text) {
        boolean digits = !text.isEmpty() && text.chars().allMatch(Character::isDigit);
        return digits && text.length() < 18
                ? OptionalLong.of(Long.parseLong(text))
                : OptionalLong.empty();
    }
}
