package org.bronzelug.router.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.core.routing.Route;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.ingress.CallerConnection;
import org.bronzelug.router.stream.EventSplitter;

/**
 * Passes an endpoint's answer on to the caller.
 *
 * <p>A stream passes as it arrives; if it may be resumed, by whole events. Any other answer is held
 * until it is whole, so that a torn one can be replaced by another endpoint's, up to a size beyond
 * which it passes as it arrives too. Confined to the traffic thread.
 */
final class ResponseRelay {
    /** Answers of plain services are about a kilobyte; more is not held in memory. */
    private static final int MAXIMUM_BUFFERED_BYTES = 65_536;

    private final CallerConnection caller;
    private final WireFormat wire;
    private final Route route;
    private final EventSplitter events = new EventSplitter();
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private Optional<HttpHeaders> headers = Optional.empty();
    private int status;
    private boolean splitting;
    private boolean begun;

    ResponseRelay(CallerConnection caller, WireFormat wire, Route route) {
        this.caller = caller;
        this.wire = wire;
        this.route = route;
    }

    /** Whether the caller has got a part of the answer. */
    boolean hasBegun() {
        return begun;
    }

    int status() {
        return status;
    }

    /** The id of the last event that the caller has got. */
    OptionalLong lastEventId() {
        return events.lastId();
    }

    /** Takes the head of an answer; of a resumed stream, the first runner's stays. */
    void begin(EndpointResponse answer, HttpResponse response) {
        if (begun) {
            return;
        }
        status = answer.status();
        headers = Optional.of(wire.callerHeaders(response));
        boolean streaming = route.stream() && answer.isSuccess();
        splitting = streaming && route.repeat() == RetryPolicy.RESUMABLE;
        if (streaming) {
            OptionalLong length =
                    HttpUtil.isContentLengthSet(response) && !splitting
                            ? OptionalLong.of(HttpUtil.getContentLength(response))
                            : OptionalLong.empty();
            sendHead(length);
        } else {
            held = Unpooled.buffer();
        }
    }

    private void sendHead(OptionalLong length) {
        begun = true;
        caller.writeHead(status, headers.orElseThrow(), length);
    }

    /**
     * Takes a part of the body.
     *
     * @return false where an event is missing, so that the stream must not go on
     */
    boolean data(ByteBuf data) {
        if (splitting) {
            events.add(data);
            return forwardEvents();
        }
        if (begun) {
            caller.writeData(data);
            return true;
        }
        held.writeBytes(data);
        data.release();
        if (held.readableBytes() > MAXIMUM_BUFFERED_BYTES) {
            ByteBuf first = held;
            held = Unpooled.EMPTY_BUFFER;
            sendHead(OptionalLong.empty());
            caller.writeData(first);
        }
        return true;
    }

    private boolean forwardEvents() {
        Optional<ByteBuf> event = events.next();
        while (event.isPresent()) {
            if (events.hasGap()) {
                event.get().release();
                return false;
            }
            caller.writeData(event.get());
            event = events.next();
        }
        return true;
    }

    /**
     * The endpoint's answer is whole.
     *
     * @return false where it ended within an event
     */
    boolean complete() {
        if (splitting && events.holdsPart()) {
            return false;
        }
        if (begun) {
            caller.writeEnd();
            return true;
        }
        ByteBuf whole = held;
        held = Unpooled.EMPTY_BUFFER;
        begun = true;
        caller.answer(status, headers.orElseThrow(), whole);
        return true;
    }

    /** Forgets an answer of which the caller has got nothing. */
    void reset() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        headers = Optional.empty();
    }

    /** Whether the stream can go on elsewhere after its last whole event. */
    boolean canResume() {
        return splitting && events.lastId().isPresent();
    }

    /** Drops half an event, if the stream can go on elsewhere. */
    boolean prepareResume() {
        if (canResume()) {
            events.dropPart();
        }
        return canResume();
    }

    void release() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        events.release();
    }
}
