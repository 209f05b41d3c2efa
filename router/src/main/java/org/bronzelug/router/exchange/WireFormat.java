package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.bronzelug.router.endpoint.EndpointResponse;

/**
 * Converts between HTTP headers and the router's own types. Only implementations of this interface
 * depend on the platform's header names. Implementations are stateless and thread-safe.
 */
public interface WireFormat {
    /** Decodes the head of a caller's request. */
    RequestHead decodeRequest(HttpRequest request) throws MalformedRequestException;

    /**
     * Returns the headers of the request for an endpoint: the caller's headers without hop-by-hop
     * headers and without those that only the router may set, and the router's own headers except
     * the deadline.
     */
    HttpHeaders endpointHeaders(HttpRequest request, Dispatch dispatch);

    /**
     * Sets the deadline header of the request for an endpoint: the milliseconds left until the
     * caller's deadline.
     */
    void setDeadline(HttpHeaders headers, long millis);

    /** Returns the name of the field of an endpoint's response that states its request's id. */
    String requestIdField();

    /**
     * Returns whether the head of an endpoint's response has a field more than once that tells
     * which request it belongs to or that the endpoint has made it.
     */
    boolean repeatsIdentity(HttpResponse response);

    /** Decodes the head of an endpoint's response. */
    EndpointResponse decodeResponse(HttpResponse response);

    /** Returns the headers of an endpoint's response that are forwarded to the caller. */
    HttpHeaders callerHeaders(HttpResponse response);
}
