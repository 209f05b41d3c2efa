package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;

/**
 * Encodes origins of streams as the platform keeps them: the keys of all streams of one pool and
 * version together, 22 characters each, with the longest time that one of them remains open. Times
 * are relative, since clocks differ. Stateless and thread-safe.
 */
final class StreamOriginCodec {
    private static final String ORIGINS = "origins";
    private static final String POOL = "pool";
    private static final String SOFTWARE_VERSION = "softwareVersion";
    private static final String REMAINING_MILLIS = "remainingMillis";
    private static final String KEYS = "keys";
    private static final int KEY_BYTES = 2 * Long.BYTES;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Bounds the time for which an origin that was read is kept. */
    private static final long MAXIMUM_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private StreamOriginCodec() {}

    private record Group(String pool, String softwareVersion) {}

    static byte[] encode(Collection<StreamOrigin> origins, long nowNanos) {
        Map<Group, List<StreamOrigin>> groups = new LinkedHashMap<>();
        for (StreamOrigin origin : origins) {
            groups.computeIfAbsent(
                            new Group(origin.pool(), origin.softwareVersion()),
                            any -> new ArrayList<>())
                    .add(origin);
        }
        ObjectNode content = JSON.createObjectNode();
        content.putArray(ORIGINS);
        groups.forEach(
                (group, members) -> {
                    ByteBuffer keys = ByteBuffer.allocate(members.size() * KEY_BYTES);
                    long remainingNanos = 0;
                    for (StreamOrigin origin : members) {
                        keys.putLong(origin.key().high()).putLong(origin.key().low());
                        remainingNanos = Math.max(remainingNanos, origin.untilNanos() - nowNanos);
                    }
                    content.withArray(ORIGINS)
                            .addObject()
                            .put(POOL, group.pool)
                            .put(SOFTWARE_VERSION, group.softwareVersion)
                            .put(REMAINING_MILLIS, TimeUnit.NANOSECONDS.toMillis(remainingNanos))
                            .put(KEYS, Base64.getEncoder().encodeToString(keys.array()));
                });
        return content.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes origins.
     *
     * @throws IOException if the content can't be read; nothing of it is used then
     */
    static List<StreamOrigin> decode(byte[] content, long nowNanos) throws IOException {
        JsonNode groups = JSON.readTree(content).path(ORIGINS);
        if (!groups.isArray()) {
            throw new IOException("the content has no list of origins");
        }
        List<StreamOrigin> origins = new ArrayList<>();
        for (JsonNode group : groups) {
            if (!group.path(POOL).isTextual() || !group.path(SOFTWARE_VERSION).isTextual()) {
                throw new IOException("a group of origins has no pool or no version");
            }
            long millis = group.path(REMAINING_MILLIS).asLong();
            long remainingMillis = Math.max(0, Math.min(MAXIMUM_MILLIS, millis));
            long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
            ByteBuffer keys = keys(group.path(KEYS).asText());
            while (keys.hasRemaining()) {
                origins.add(
                        new StreamOrigin(
                                new StreamKey(keys.getLong(), keys.getLong()),
                                group.path(POOL).asText(),
                                group.path(SOFTWARE_VERSION).asText(),
                                untilNanos));
            }
        }
        return origins;
    }

    private static ByteBuffer keys(String encoded) throws IOException {
        try {
            byte[] keys = Base64.getDecoder().decode(encoded);
            if (keys.length % KEY_BYTES != 0) {
                throw new IOException("a key of a stream is cut off");
            }
            return ByteBuffer.wrap(keys);
        } catch (IllegalArgumentException malformed) {
            throw new IOException("the keys of streams are not encoded as base 64", malformed);
        }
    }
}
