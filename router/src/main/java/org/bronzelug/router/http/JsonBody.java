package org.bronzelug.router.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * Parses the JSON bodies of responses.
 *
 * <p>Invariant: only a whole object is returned. The end of a response may be its connection's end,
 * so a missing body is not an empty list. Stateless and thread-safe.
 */
public final class JsonBody {
    private static final ObjectMapper JSON = new ObjectMapper();

    private JsonBody() {}

    /**
     * Parses a body that contains an object.
     *
     * @throws IOException if the body is empty, truncated or not an object
     */
    public static JsonNode parseObject(byte[] body) throws IOException {
        JsonNode node = JSON.readTree(body);
        if (!node.isObject()) {
            throw new IOException("a JSON object was expected, the body is " + node.getNodeType());
        }
        return node;
    }
}
