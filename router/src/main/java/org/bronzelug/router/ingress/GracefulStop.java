package org.bronzelug.router.ingress;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.control.ControlService;
import org.bronzelug.router.exchange.Forwarder;
import org.bronzelug.router.relay.RelayServer;
import org.bronzelug.router.settings.FleetBounds;

/**
 * Stops a VM without interrupting a request. The VM is no longer announced to callers, but
 * continues to serve those that still use its address. After 2.5 s, or half of a shorter grace
 * period, it accepts no new connections and sends only requests that are expected to end in time.
 * The stop is complete when the last response has been sent and the peers have closed the
 * connections that this VM relays for them. Requests that are still open near the end of the grace
 * period are answered, unless a part of their response was sent.
 *
 * <p>Runs once, on the thread that calls {@link #run}.
 */
public final class GracefulStop {
    /**
     * Callers cache the VMs' addresses for seconds; most have refreshed them by then. The others
     * get a refused connection and use another address immediately.
     */
    private static final long KEEP_LISTENING_MILLIS = 2_500;

    /** The end of the grace period that is reserved for shutting down. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 700;

    /** Time for the responses to requests that are open at the end of the grace period. */
    private static final long RESPONSE_MILLIS = 100;

    /** Time before that in which callers get the rejections of requests that still wait. */
    private static final long REJECTION_MARGIN_MILLIS = 300;

    private static final long CHECK_MILLIS = 50;

    private final EventLoop traffic;
    private final FleetBounds bounds;
    private final Forwarder forwarder;
    private final IngressServer ingress;
    private final RelayServer relay;
    private final ControlService control;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long listenMillis;
    private long startNanos;

    public GracefulStop(
            EventLoop traffic,
            FleetBounds bounds,
            Forwarder forwarder,
            IngressServer ingress,
            RelayServer relay,
            ControlService control) {
        this.traffic = traffic;
        this.bounds = bounds;
        this.forwarder = forwarder;
        this.ingress = ingress;
        this.relay = relay;
        this.control = control;
        listenMillis = Math.min(KEEP_LISTENING_MILLIS, bounds.graceMillis() / 2);
    }

    /**
     * Drains the VM. Returns when all responses have been sent, or the grace period is nearly over.
     */
    public void run() {
        startNanos = System.nanoTime();
        control.beginStop();
        long waitMillis = bounds.graceMillis() - SHUTDOWN_MARGIN_MILLIS - REJECTION_MARGIN_MILLIS;
        traffic.execute(() -> forwarder.beginStop(listenMillis, waitMillis));
        traffic.schedule(this::closeListener, listenMillis, TimeUnit.MILLISECONDS);
        traffic.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        try {
            boolean drained =
                    done.await(
                            bounds.graceMillis() - SHUTDOWN_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
            if (!drained) {
                EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "connections are closed within responses");
                traffic.submit(ingress::answerOpenRequests)
                        .await(RESPONSE_MILLIS, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeListener() {
        ingress.closeListener();
        relay.closeListener();
        ingress.closeConnectionsWhenIdle();
    }

    private void check() {
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        boolean idle = ingress.busyCount() == 0 && relay.connectionCount() == 0;
        if (elapsedMillis > listenMillis && idle) {
            done.countDown();
            return;
        }
        traffic.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
}
