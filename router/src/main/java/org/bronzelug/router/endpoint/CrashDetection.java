package org.bronzelug.router.endpoint;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Distinguishes the crash of an endpoint from the loss of a single connection. An endpoint has
 * crashed if it refuses a new connection after a loss, or if the platform lists another start of
 * it.
 *
 * <p>Invariant: the listener is called at most once. A connect that times out shows nothing: it may
 * be the path that is lost. Confined to the traffic thread.
 */
final class CrashDetection {
    /** Time after the loss of a connection in which another start of the endpoint shows a crash. */
    private static final long REPLACED_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Least time between two connections that are opened to see whether the endpoint lives. */
    private static final long VERIFY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Runnable verify;
    private Optional<Consumer<OptionalLong>> listener = Optional.empty();
    private OptionalLong lostNanos = OptionalLong.empty();
    private OptionalLong firstLostNanos = OptionalLong.empty();
    private OptionalLong verifyNanos = OptionalLong.empty();
    private boolean verifying;
    private boolean crashed;

    /**
     * @param verify opens a connection to the endpoint, whose outcome is to be recorded
     */
    CrashDetection(Runnable verify) {
        this.verify = verify;
    }

    void setListener(Consumer<OptionalLong> onCrashed) {
        listener = Optional.of(onCrashed);
    }

    /**
     * Records that a connection was lost within a request, or ended a response without a length.
     */
    void recordLost(long nowNanos) {
        lostNanos = OptionalLong.of(nowNanos);
        if (firstLostNanos.isEmpty()) {
            firstLostNanos = lostNanos;
        }
        boolean tooEarly =
                verifyNanos.isPresent()
                        && nowNanos - verifyNanos.getAsLong() < VERIFY_INTERVAL_NANOS;
        if (crashed || verifying || tooEarly || listener.isEmpty()) {
            return;
        }
        verifying = true;
        verifyNanos = lostNanos;
        verify.run();
    }

    /** Records that the endpoint has accepted a connection. */
    void recordConnected() {
        verifying = false;
        firstLostNanos = OptionalLong.empty();
    }

    void recordConnectFailed(Throwable cause) {
        verifying = false;
        if (isRefusal(cause)) {
            recordCrash(firstLostNanos);
        }
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT).contains("refused");
    }

    /** Records that the platform lists another start of the endpoint, or none. */
    void recordReplaced(long nowNanos) {
        if (lostNanos.isPresent() && nowNanos - lostNanos.getAsLong() < REPLACED_NANOS) {
            recordCrash(firstLostNanos.isPresent() ? firstLostNanos : lostNanos);
        }
    }

    private void recordCrash(OptionalLong crashNanos) {
        if (!crashed) {
            crashed = true;
            listener.ifPresent(present -> present.accept(crashNanos));
        }
    }
}
