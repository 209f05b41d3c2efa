package org.bronzelug.router.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.retry.RetryKind;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.core.routing.Route;
import org.bronzelug.router.endpoint.BodyFraming;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.ingress.CallerConnection;
import org.bronzelug.router.stream.EventBoundary;
import org.bronzelug.router.stream.EventSplitter;

/**
 * Forwards an endpoint's response to the caller.
 *
 * <p>A stream is forwarded as it arrives; a resumable one is forwarded in whole events. Any other
 * response is buffered until it is complete, so that an incomplete one can be replaced by the
 * response of another endpoint. If it exceeds the buffer's maximum size, it is forwarded as it
 * arrives as well. Confined to the traffic thread.
 */
final class ResponseRelay {
    /** Responses without a stream are typically about a kilobyte; larger ones are not buffered. */
    private static final int MAXIMUM_BUFFERED_BYTES = 65_536;

    private final CallerConnection caller;
    private final WireFormat wire;
    private final Route route;
    private final Runnable onFirstEvent;
    private final EventSplitter events = new EventSplitter();
    private final EventBoundary boundary = new EventBoundary();
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private Optional<HttpHeaders> headers = Optional.empty();
    private Optional<BodyFraming> framing = Optional.empty();
    private int status;
    private boolean splitsEvents;
    private boolean eventStream;
    private boolean begun;
    private boolean eventForwarded;
    private boolean holding;
    private boolean holdsData;

    /**
     * @param onFirstEvent called when the first event of a resumable stream is forwarded
     */
    ResponseRelay(CallerConnection caller, WireFormat wire, Route route, Runnable onFirstEvent) {
        this.caller = caller;
        this.wire = wire;
        this.route = route;
        this.onFirstEvent = onFirstEvent;
    }

    /** Returns whether the head of a response was forwarded to the caller. */
    boolean hasBegun() {
        return begun;
    }

    /** Returns the kind of a retry for a request that no endpoint serves any more. */
    RetryKind retryKind() {
        return begun ? RetryKind.RESUMPTION : RetryKind.REQUIRED;
    }

    int status() {
        return status;
    }

    /** Returns how the end of the last endpoint's response is marked; empty before its head. */
    Optional<BodyFraming> framing() {
        return framing;
    }

    /** Returns the id of the last event that was forwarded to the caller. */
    OptionalLong lastEventId() {
        return events.lastId();
    }

    /** Starts a response with its head; the head of a resumed stream is ignored. */
    void begin(EndpointResponse head, HttpResponse response) {
        framing = Optional.of(BodyFraming.of(response));
        if (begun) {
            return;
        }
        status = head.status();
        headers = Optional.of(wire.callerHeaders(response));
        boolean streaming = route.stream() && head.isSuccess();
        splitsEvents = streaming && route.retryPolicy() == RetryPolicy.RESUMABLE;
        eventStream = splitsEvents || (streaming && isEventStream(response));
        if (streaming) {
            // With a length, a stream that ends within an event would look complete.
            OptionalLong length =
                    HttpUtil.isContentLengthSet(response) && !eventStream
                            ? OptionalLong.of(HttpUtil.getContentLength(response))
                            : OptionalLong.empty();
            sendHead(length);
        } else {
            buffered = Unpooled.buffer();
        }
    }

    private static boolean isEventStream(HttpResponse response) {
        CharSequence mimeType = HttpUtil.getMimeType(response);
        return mimeType == null
                || HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(mimeType);
    }

    private void sendHead(OptionalLong length) {
        begun = true;
        caller.writeHead(status, headers.orElseThrow(), length);
    }

    /**
     * Forwards or buffers a chunk of the body, and takes ownership of it.
     *
     * @return false if the rest of this runner's stream can't be forwarded, since an event is
     *     missing or too long
     */
    boolean forward(ByteBuf data) {
        if (splitsEvents) {
            events.add(data);
            holdsData = holding;
            return (holding || forwardEvents()) && !events.isEventTooLong();
        }
        if (begun) {
            boundary.scanAll(data);
            caller.writeData(data);
            return true;
        }
        buffered.writeBytes(data);
        data.release();
        if (buffered.readableBytes() > MAXIMUM_BUFFERED_BYTES) {
            ByteBuf firstChunk = buffered;
            buffered = Unpooled.EMPTY_BUFFER;
            sendHead(OptionalLong.empty());
            caller.writeData(firstChunk);
        }
        return true;
    }

    /** Returns why the rest of this runner's stream can't be forwarded. */
    String unusableCause() {
        return events.isEventTooLong()
                ? "an event of the stream is too long"
                : "an event of the stream is missing";
    }

    /** Holds back the events that arrive from now on, until {@link #forwardHeld}. */
    void hold() {
        holding = true;
    }

    /** Returns whether bytes have arrived since {@link #hold}. */
    boolean isHoldingData() {
        return holdsData;
    }

    /**
     * Forwards the events held back and all later ones.
     *
     * @return false if an event is missing, so the rest of this runner's stream can't be forwarded
     */
    boolean forwardHeld() {
        holding = false;
        holdsData = false;
        return forwardEvents();
    }

    private boolean forwardEvents() {
        Optional<ByteBuf> event = events.next();
        while (event.isPresent()) {
            if (events.hasGap()) {
                event.get().release();
                return false;
            }
            caller.writeData(event.get());
            if (!eventForwarded) {
                eventForwarded = true;
                onFirstEvent.run();
            }
            event = events.next();
        }
        return true;
    }

    /**
     * Returns why the stream was broken off although its endpoint's response has ended; empty if
     * the response is whole. A stream never ends within an event; the close of a connection also
     * ends none that has no event yet, as a run has at least one.
     */
    Optional<String> brokenOffCause() {
        if (!eventStream) {
            return Optional.empty();
        }
        boolean unframed = framing.filter(BodyFraming.CONNECTION_CLOSE::equals).isPresent();
        return switch (streamEnd()) {
            case WITHIN_EVENT -> Optional.of("stream ended within an event");
            case BEFORE_FIRST_EVENT ->
                    unframed
                            ? Optional.of("connection closed before the first event")
                            : Optional.empty();
            case AFTER_EVENT -> Optional.empty();
        };
    }

    private EventBoundary.Position streamEnd() {
        return splitsEvents ? events.position() : boundary.position();
    }

    /** Completes the response after its last chunk, if it was not broken off. */
    void complete() {
        if (begun) {
            caller.writeEnd();
            return;
        }
        ByteBuf whole = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        begun = true;
        caller.writeResponse(status, headers.orElseThrow(), whole);
    }

    /** Describes for the log how the end of the last endpoint's response was marked. */
    String describeEnd() {
        String framingName = framing.map(BodyFraming::name).orElse("NONE");
        return "framing=" + framingName + (eventStream ? " streamEnd=" + streamEnd() : "");
    }

    /** Discards a response of which nothing was forwarded to the caller. */
    void reset() {
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
        headers = Optional.empty();
    }

    /**
     * Returns whether the stream can be resumed at another endpoint after its last whole event, or
     * started anew if the caller has got no event yet.
     */
    boolean canResume() {
        return splitsEvents && (events.lastId().isPresent() || !eventForwarded);
    }

    /**
     * Drops an incomplete event and the events held back if the stream can be resumed.
     *
     * @return whether the stream can be resumed
     */
    boolean prepareResume() {
        holding = false;
        holdsData = false;
        if (canResume()) {
            events.dropBuffered();
        }
        return canResume();
    }

    void release() {
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
        events.release();
    }
}
