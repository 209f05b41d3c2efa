package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.bronzelug.router.endpoint.EndpointResponse;

/**
 * How requests and answers are spelled on the wire: the only place of the engine that depends on a
 * platform's header names. Implementations are stateless and thread-safe.
 */
public interface WireFormat {
    /** Reads what the engine needs of a caller's request. */
    RequestHead decodeRequest(HttpRequest request) throws MalformedRequestException;

    /**
     * The headers for an endpoint: the caller's, without those that concern only its connection or
     * that only the router may set, and the router's own but for the deadline.
     */
    HttpHeaders endpointHeaders(HttpRequest request, Dispatch dispatch);

    /** Sets the milliseconds left in the headers for an endpoint. */
    void setDeadline(HttpHeaders headers, long millis);

    /** Reads what the engine needs of an endpoint's answer. */
    EndpointResponse decodeResponse(HttpResponse response);

    /** The headers of an endpoint's answer that a caller gets. */
    HttpHeaders callerHeaders(HttpResponse response);
}
