package org.bronzelug.router.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds a status line within a body that arrives in parts, also across two parts.
 *
 * <p>Invariant: once found, it stays found. Reads no part twice and keeps none. Not thread-safe.
 */
public final class StatusLineScanner {
    /** A digit stands for any digit. */
    private static final byte[] STATUS_LINE = {
        'H', 'T', 'T', 'P', '/', '0', '.', '0', ' ', '0', '0', '0'
    };

    /** The number of bytes of a status line that precede the next byte. */
    private int matched;

    /** Scans the readable bytes of the next part, and doesn't consume them. */
    public void scan(ByteBuf part) {
        int end = part.writerIndex();
        int index = part.readerIndex();
        while (index < end && !hasFound()) {
            if (matched == 0) {
                index = part.indexOf(index, end, STATUS_LINE[0]);
                if (index < 0) {
                    return;
                }
            }
            add(part.getByte(index));
            index++;
        }
    }

    private void add(byte next) {
        if (isExpected(next)) {
            matched++;
        } else {
            // No status line can begin within another one but with its first byte.
            matched = next == STATUS_LINE[0] ? 1 : 0;
        }
    }

    private boolean isExpected(byte next) {
        byte expected = STATUS_LINE[matched];
        return expected == '0' ? next >= '0' && next <= '9' : next == expected;
    }

    /** Returns whether a status line was found. */
    public boolean hasFound() {
        return matched == STATUS_LINE.length;
    }
}
