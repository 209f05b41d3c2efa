package org.bronzelug.router.endpoint;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.bronzelug.router.exchange.WireFormat;
import org.bronzelug.router.http.StatusLines;

/**
 * What a decoded response head is to the request that waits on its connection.
 *
 * <p>Invariant: a head is the request's own only if it has exactly one request id, which is the
 * request's. The decoder takes a head that was cut off and the next head for one: the second status
 * line is then in the reason phrase or in a field's value, and the rest fits the second response.
 * Such a head is malformed, so that the caller never gets its status (response desynchronization;
 * RFC 9112, section 11). Immutable and thread-safe.
 */
sealed interface ResponseMatch {
    /** The response to the request. */
    record Own(EndpointResponse head) implements ResponseMatch {}

    /** An interim response (1xx), after which the response is still due. */
    record Interim() implements ResponseMatch {}

    /** A whole response that is not the request's own, after which its own may follow. */
    record Foreign(Desynchronization cause) implements ResponseMatch {}

    /** A head after which it is unknown where the next response begins. */
    record Malformed(Desynchronization cause) implements ResponseMatch {}

    static ResponseMatch of(HttpResponse response, String requestId, WireFormat wire) {
        Optional<Desynchronization> fault = fault(response, wire);
        if (fault.isPresent()) {
            return new Malformed(fault.get());
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return new Interim();
        }
        EndpointResponse head = wire.decodeResponse(response);
        if (head.requestId().filter(id -> !id.isEmpty()).isEmpty()) {
            return new Foreign(Desynchronization.NO_REQUEST);
        }
        return head.requestId().get().equals(requestId)
                ? new Own(head)
                : new Foreign(Desynchronization.OTHER_REQUEST);
    }

    private static Optional<Desynchronization> fault(HttpResponse response, WireFormat wire) {
        if (StatusLines.areIn(response)) {
            return Optional.of(Desynchronization.JOINED_HEADS);
        }
        return wire.repeatsIdentity(response)
                ? Optional.of(Desynchronization.REPEATED_FIELD)
                : Optional.empty();
    }
}
