package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.FullHttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;
import org.bronzelug.core.placement.PromptPart;
import org.bronzelug.core.routing.Team;

/**
 * A hash of what all attempts of a request have in common: team, method, path, query, prompt and
 * body. The id and the headers that differ between attempts are left out.
 *
 * <p>A request without a prompt and a body may look like those of other callers. Therefore it also
 * includes the caller's host. Stateless and thread-safe.
 */
final class RequestFingerprint {
    /** A hash of 128 bits: nobody finds another request with the same one. */
    private static final int BYTES = 16;

    private RequestFingerprint() {}

    /**
     * Returns the fingerprint of a request, in time linear in the size of its body.
     *
     * @param callerHost the host that the request came from
     */
    static String of(AdmittedRequest admitted, FullHttpRequest request, String callerHost) {
        MessageDigest digest = newDigest();
        update(digest, admitted.team().map(Team::name).orElse(""));
        update(digest, admitted.head().host());
        update(digest, request.method().name());
        update(digest, request.uri());
        admitted.head().prompt().ifPresent(prompt -> update(digest, prompt, admitted.head().id()));
        if (admitted.head().prompt().isEmpty() && !request.content().isReadable()) {
            update(digest, callerHost);
        }
        for (ByteBuffer content : request.content().nioBuffers()) {
            digest.update(content);
        }
        byte[] hash = Arrays.copyOf(digest.digest(), BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(hash);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException unavailable) {
            throw new IllegalStateException("the Java runtime has no SHA-256", unavailable);
        }
    }

    /** Adds a prompt; a part that is named after the request's id differs between attempts. */
    private static void update(MessageDigest digest, PromptSpec prompt, String requestId) {
        update(digest, prompt.model());
        prompt.parts().stream()
                .map(PromptPart::id)
                .filter(id -> !id.equals(requestId))
                .forEach(id -> update(digest, id));
    }

    /** Adds a text after its length, so that no two sequences of texts are hashed alike. */
    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }
}
