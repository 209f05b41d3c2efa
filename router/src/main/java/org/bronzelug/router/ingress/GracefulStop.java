package org.bronzelug.router.ingress;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.control.ControlService;
import org.bronzelug.router.exchange.Forwarder;
import org.bronzelug.router.settings.FleetBounds;

/**
 * Stops a VM without cutting a request: it is no longer named to callers, goes on serving those
 * that still know its address, then takes no new connections, and ends when the last answer is
 * whole.
 *
 * <p>Runs once, on the thread that calls it.
 */
public final class GracefulStop {
    /**
     * Callers keep an address for seconds; most have asked anew by then. The rest meet a closed
     * port and go to another address at once.
     */
    private static final long KEEP_LISTENING_MILLIS = 2_500;

    /** What is left of the grace for closing down. */
    private static final long SHUTDOWN_MARGIN_MILLIS = 700;

    private static final long CHECK_MILLIS = 50;

    private final EventLoop traffic;
    private final FleetBounds bounds;
    private final Forwarder forwarder;
    private final IngressServer ingress;
    private final ControlService control;
    private final CountDownLatch done = new CountDownLatch(1);
    private long startNanos;

    public GracefulStop(
            EventLoop traffic,
            FleetBounds bounds,
            Forwarder forwarder,
            IngressServer ingress,
            ControlService control) {
        this.traffic = traffic;
        this.bounds = bounds;
        this.forwarder = forwarder;
        this.ingress = ingress;
        this.control = control;
    }

    /** Returns when all is answered, or the grace is nearly over. */
    public void run() {
        startNanos = System.nanoTime();
        control.beginStop();
        traffic.execute(forwarder::beginStop);
        traffic.schedule(this::closeListener, KEEP_LISTENING_MILLIS, TimeUnit.MILLISECONDS);
        traffic.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        try {
            boolean all =
                    done.await(
                            bounds.graceMillis() - SHUTDOWN_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
            if (!all) {
                EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "connections end in an answer");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeListener() {
        ingress.closeListener();
        ingress.closeConnectionsWhenIdle();
    }

    private void check() {
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        if (elapsedMillis > KEEP_LISTENING_MILLIS && ingress.busyCount() == 0) {
            done.countDown();
            return;
        }
        traffic.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
}
