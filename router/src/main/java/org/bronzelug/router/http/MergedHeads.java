package org.bronzelug.router.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes the head of a response that was cut off and continued by the head of another response
 * on the same connection. Such a head has the status of the first response and the rest of the
 * second one, and is valid otherwise. Stateless and thread-safe.
 */
public final class MergedHeads {
    /** A status line's beginning. Other fields may name a protocol, but not with a status. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private MergedHeads() {}

    /** Returns whether the reason phrase or a field contains a status line. */
    public static boolean isMerged(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
