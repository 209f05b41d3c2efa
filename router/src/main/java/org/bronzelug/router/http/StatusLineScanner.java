package org.bronzelug.router.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds status lines within a body that arrives in parts, also across two parts.
 *
 * <p>Invariant: no part is changed or kept. Not thread-safe.
 */
public final class StatusLineScanner {
    /** A digit stands for any digit. */
    private static final byte[] STATUS_LINE = {
        'H', 'T', 'T', 'P', '/', '0', '.', '0', ' ', '0', '0', '0'
    };

    /** The number of bytes of a status line that precede the next byte. */
    private int matched;

    private boolean found;

    /**
     * Scans a part from an index to its end, or to the end of a status code.
     *
     * @return the index behind the status code; -1 if the part has no further status line
     */
    public int next(ByteBuf part, int fromIndex) {
        int end = part.writerIndex();
        int index = fromIndex;
        while (index < end) {
            if (matched == 0) {
                index = part.indexOf(index, end, STATUS_LINE[0]);
                if (index < 0) {
                    return -1;
                }
            }
            add(part.getByte(index));
            index++;
            if (matched == STATUS_LINE.length) {
                matched = 0;
                found = true;
                return index;
            }
        }
        return -1;
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

    /**
     * Returns whether the last part ends within a status line that further bytes complete. Counts
     * them as scanned.
     */
    public boolean isCompletedBy(ByteBuf following) {
        int begin = following.readerIndex();
        int missing = STATUS_LINE.length - matched;
        return matched > 0 && next(following, begin) == begin + missing;
    }

    /** Returns whether a status line was found in any part. */
    public boolean hasFound() {
        return found;
    }
}
