package org.bronzelug.core.poison;

import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One attempt of a request at an endpoint, with those of its parts that may crash the endpoint.
 *
 * <p>Invariant: an attempt begins at most once and ends at most once. Not thread-safe.
 */
public final class WatchedAttempt {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time in which all VMs learn that the endpoint has crashed. */
    private static final long VERIFICATION_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final EndpointRun run;
    private final Set<PartKey> parts;
    private final RequestKeys keys;
    private final long sentNanos;
    private OptionalLong beganNanos = OptionalLong.empty();
    private OptionalLong firstDataNanos = OptionalLong.empty();
    private OptionalLong endedNanos = OptionalLong.empty();
    private boolean written;
    private boolean survived;
    private boolean complete;

    /**
     * @param parts those of the request's parts that may crash the endpoint
     */
    WatchedAttempt(EndpointRun run, Set<PartKey> parts, RequestKeys keys, long sentNanos) {
        this.run = run;
        this.parts = Set.copyOf(parts);
        this.keys = keys;
        this.sentNanos = sentNanos;
    }

    Set<PartKey> parts() {
        return parts;
    }

    /** Returns the key of the request itself. */
    PartKey request() {
        return keys.request();
    }

    /** Returns how far the request had come at a time. */
    Involvement involvement(long nanos) {
        if (beganNanos.isEmpty()) {
            return Involvement.WAITING;
        }
        double seconds = (nanos - beganNanos.getAsLong()) / NANOS_PER_SECOND;
        return seconds <= Involvement.BEGUN_SECONDS ? Involvement.BEGUN : Involvement.RESPONDING;
    }

    boolean isBegun() {
        return beganNanos.isPresent();
    }

    /** Records that the request was written to a connection, so that the endpoint may have it. */
    public void recordWritten() {
        written = true;
    }

    /** Records that the endpoint stated that it did not run the request. */
    public void recordNotExecuted() {
        written = false;
        run.removeUnfinished(this);
    }

    boolean isWritten() {
        return written;
    }

    /** Records that the head of a response to the request has arrived. */
    public void recordHead(long nowNanos) {
        run.recordActivity(nowNanos);
        if (beganNanos.isEmpty()) {
            beganNanos = OptionalLong.of(nowNanos);
        }
    }

    /** Records that bytes of the response's body have arrived. */
    public void recordData(long nowNanos) {
        recordHead(nowNanos);
        if (firstDataNanos.isEmpty()) {
            firstDataNanos = OptionalLong.of(nowNanos);
        }
    }

    /** Returns whether the endpoint has survived the request if it was alive at a time. */
    boolean isSurvivedAt(OptionalLong aliveNanos) {
        return firstDataNanos.isPresent()
                && aliveNanos.isPresent()
                && aliveNanos.getAsLong() - firstDataNanos.getAsLong()
                        >= EndpointRun.SURVIVAL_NANOS;
    }

    void restartSurvival(long nowNanos) {
        if (firstDataNanos.isPresent()) {
            firstDataNanos = OptionalLong.of(nowNanos);
        }
    }

    void recordSurvived() {
        survived = true;
    }

    /** Records that the whole response has arrived. */
    public void complete(long nowNanos) {
        complete = true;
        run.removeUnfinished(this);
        end(nowNanos);
    }

    boolean isComplete() {
        return complete;
    }

    /** Records that the attempt has ended, in whatever way. */
    public void end(long nowNanos) {
        if (endedNanos.isEmpty()) {
            endedNanos = OptionalLong.of(nowNanos);
            if (!written) {
                run.removeUnfinished(this);
            } else if (!complete) {
                // Computes the key while the request can still be read.
                keys.request();
            }
        }
    }

    boolean isEndedBefore(long nanos) {
        return endedNanos.isPresent() && endedNanos.getAsLong() - nanos < 0;
    }

    /**
     * Returns whether the outcome is open, and the request was sent or has begun after a time. An
     * attempt that was broken off is open until it is known whether the endpoint has crashed.
     */
    boolean isOpen(long afterNanos, long nowNanos) {
        boolean ended =
                endedNanos.isPresent()
                        && (complete
                                || !written
                                || nowNanos - endedNanos.getAsLong() > VERIFICATION_NANOS);
        return !ended && !survived && beganNanos.orElse(sentNanos) - afterNanos > 0;
    }
}
