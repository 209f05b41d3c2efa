package org.bronzelug.router.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.exchange.Dispatch;
import org.bronzelug.router.exchange.RequestHead;
import org.bronzelug.router.exchange.WireFormat;

/** Wire format for tests that send no requests; every method fails. Stateless. */
public final class NoWireFormat implements WireFormat {
    @Override
    public RequestHead decodeRequest(HttpRequest request) {
        throw new UnsupportedOperationException("nothing is sent");
    }

    @Override
    public HttpHeaders endpointHeaders(HttpRequest request, Dispatch dispatch) {
        throw new UnsupportedOperationException("nothing is sent");
    }

    @Override
    public void setDeadline(HttpHeaders headers, long millis) {
        throw new UnsupportedOperationException("nothing is sent");
    }

    @Override
    public String requestIdField() {
        throw new UnsupportedOperationException("nothing is sent");
    }

    @Override
    public boolean repeatsIdentity(HttpResponse response) {
        throw new UnsupportedOperationException("nothing is sent");
    }

    @Override
    public EndpointResponse decodeResponse(HttpResponse response) {
        throw new UnsupportedOperationException("nothing is sent");
    }

    @Override
    public HttpHeaders callerHeaders(HttpResponse response) {
        throw new UnsupportedOperationException("nothing is sent");
    }
}
