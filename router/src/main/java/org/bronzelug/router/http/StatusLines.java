package org.bronzelug.router.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds the status line of another response within a decoded head or trailer. The decoder rejects
 * one in a field's name, and one in place of a version or a status code. Stateless and thread-safe.
 */
public final class StatusLines {
    private static final String PROTOCOL = "HTTP/";

    /** Includes the status code, as other values may name a protocol alone. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private StatusLines() {}

    /** Returns whether the reason phrase or a field of a head includes a status line. */
    public static boolean areIn(HttpResponse response) {
        return isIn(response.status().reasonPhrase()) || areIn(response.headers());
    }

    /** Returns whether the value of a field includes a status line. */
    public static boolean areIn(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (isIn(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isIn(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
