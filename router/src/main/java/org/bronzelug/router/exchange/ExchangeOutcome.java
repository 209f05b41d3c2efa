package org.bronzelug.router.exchange;

import org.bronzelug.router.ingress.CallerConnection;
import org.bronzelug.router.metrics.RouterMetrics;

/**
 * Ends an exchange: sends the router's own response or closes the caller's connection, counts the
 * outcome, and has the exchange release its resources.
 *
 * <p>Invariant: an exchange is ended once; later ends have no effect on its resources and metrics.
 * Confined to the traffic thread.
 */
final class ExchangeOutcome {
    private static final int UNAVAILABLE = 503;

    private final RouterMetrics metrics;
    private final CallerConnection caller;
    private final Listener listener;
    private boolean done;

    /** Releases what an exchange holds. */
    interface Listener {
        /**
         * Called once, when the exchange has ended.
         *
         * @param outcome the response's status, or how the exchange ended without a response
         */
        void onEnded(String outcome, String reason);
    }

    ExchangeOutcome(RouterMetrics metrics, CallerConnection caller, Listener listener) {
        this.metrics = metrics;
        this.caller = caller;
        this.listener = listener;
    }

    boolean isDone() {
        return done;
    }

    /** Records that the response was forwarded in whole. */
    void complete(int status) {
        end(String.valueOf(status), "complete");
    }

    /** Records that the caller closed its connection. */
    void callerLeft() {
        end("gone", "the caller closed its connection");
    }

    /** Rejects a request that has not run at any endpoint. */
    void rejectNotRun(String reason, long retryAfterMillis) {
        metrics.rejected(UNAVAILABLE);
        end(String.valueOf(UNAVAILABLE), reason);
        caller.reject(Rejection.retryLater(UNAVAILABLE, reason, "retry later", retryAfterMillis));
    }

    /** Responds with an error to a request that may have run. */
    void fail(int status, String reason) {
        metrics.failed(status);
        end(String.valueOf(status), reason);
        caller.reject(Rejection.of(status, reason, "the request may have run"));
    }

    /** Closes the caller's connection within its response. */
    void breakOff(String cause) {
        if (!done) {
            metrics.count("responses_broken_off");
        }
        caller.abort();
        end("broken", cause);
    }

    private void end(String outcome, String reason) {
        if (!done) {
            done = true;
            listener.onEnded(outcome, reason);
        }
    }
}
