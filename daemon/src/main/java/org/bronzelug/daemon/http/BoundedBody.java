package org.bronzelug.daemon.http;

import java.io.IOException;
import java.util.Optional;
import okhttp3.ResponseBody;
import okio.BufferedSource;

/**
 * Reads the bodies of responses up to a size. A faulty server may send bytes without end, faster
 * than a call times out.
 *
 * <p>Invariant: no more than the maximum size is kept. Stateless and thread-safe.
 */
public final class BoundedBody {
    /** Larger than a list of all objects. */
    private static final int MAXIMUM_BYTES = 16 * 1_048_576;

    /** Larger than a chunk of generated text. */
    private static final int MAXIMUM_LINE_BYTES = 1_048_576;

    private static final byte LINE_FEED = '\n';

    private BoundedBody() {}

    /**
     * Reads a whole body.
     *
     * @throws IOException if the body is too large or cut off
     */
    public static byte[] read(ResponseBody body) throws IOException {
        BufferedSource source = body.source();
        if (source.request(MAXIMUM_BYTES + 1L)) {
            throw new IOException("the response is larger than " + MAXIMUM_BYTES + " bytes");
        }
        return source.readByteArray();
    }

    /**
     * Reads the next line of a body.
     *
     * @return the line without its end; empty at the end of the body
     * @throws IOException if the line is too long or the body is cut off
     */
    public static Optional<String> readLine(BufferedSource source) throws IOException {
        boolean ended = source.indexOf(LINE_FEED, 0, MAXIMUM_LINE_BYTES) >= 0;
        if (!ended && source.request(MAXIMUM_LINE_BYTES)) {
            throw new IOException("a line is larger than " + MAXIMUM_LINE_BYTES + " bytes");
        }
        return Optional.ofNullable(source.readUtf8Line());
    }
}
