package org.bronzelug.daemon.control;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.platform.PlatformException;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Reads the platform's objects: all of them first, then the changes by watches.
 *
 * <p>Only one VM in sixteen, but at least three, watches the platform, so the platform's load grows
 * with a sixteenth of the number of VMs; rendezvous hashing chooses the watchers. The other VMs
 * receive the changes from their peers, and read the platform only when their configuration is
 * older than half the staleness bound. Failed calls are retried with exponential backoff and full
 * jitter.
 *
 * <p>Runs on a thread of its own; the control state is accessed on the control thread only.
 */
@Singleton
public final class PlatformWatch implements Service {
    /** The name under which this service is registered with the kernel. */
    public static final String NAME = "platform-watch";

    private static final String WATCHERS_KEY = "platform-watchers";
    private static final int MINIMUM_WATCHERS = 3;
    private static final int VMS_PER_WATCHER = 16;
    private static final long WATCH_TIMEOUT_MILLIS = 400;
    private static final long IDLE_CHECK_INTERVAL_MILLIS = 100;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 4_000;
    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;

    private final PlatformClient platform;
    private final ControlThread control;
    private final ControlState state;
    private Thread thread;
    private volatile boolean reachable;
    private long revision = -1;
    private long maximumDelayMillis = INITIAL_RETRY_DELAY_MILLIS;

    @Inject
    public PlatformWatch(PlatformClient platform, ControlThread control, ControlState state) {
        this.platform = platform;
        this.control = control;
        this.state = state;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        thread = Thread.ofVirtual().name(NAME).start(this::loop);
    }

    /** Returns whether the platform responded to the last call. */
    public boolean isPlatformReachable() {
        return reachable;
    }

    private void loop() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                if (shouldCallPlatform()) {
                    readPlatform();
                } else {
                    TimeUnit.MILLISECONDS.sleep(IDLE_CHECK_INTERVAL_MILLIS);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns whether to call the platform now. While the platform is unreachable every VM keeps
     * calling it, since a VM may have to write its new addresses to the roster once it is
     * reachable.
     */
    private boolean shouldCallPlatform() {
        return !reachable || control.submit(this::isWatcherOrNearlyStale).join();
    }

    private boolean isWatcherOrNearlyStale() {
        long now = System.nanoTime();
        Optional<Long> age = state.freshness().ageNanos(now).stream().boxed().findFirst();
        boolean nearlyStale =
                age.isEmpty() || age.get() > state.freshness().stalenessBoundNanos() / 2;
        var vms = state.availableVms(now);
        int watchers = Math.max(MINIMUM_WATCHERS, vms.size() / VMS_PER_WATCHER);
        int rank = Rendezvous.order(WATCHERS_KEY, vms).indexOf(state.self().vm());
        return nearlyStale || rank >= 0 && rank < watchers;
    }

    private void readPlatform() throws InterruptedException {
        long sentNanos = System.nanoTime();
        try {
            PlatformClient.Listing listing =
                    revision < 0 ? platform.list() : platform.watch(revision, WATCH_TIMEOUT_MILLIS);
            control.submit(
                            () -> {
                                state.install(listing.objects());
                                state.recordPlatformRead(sentNanos);
                                return true;
                            })
                    .join();
            revision = listing.revision();
            recordSuccess();
        } catch (PlatformException failed) {
            backOff(failed);
        }
    }

    private void recordSuccess() {
        if (!reachable) {
            EventLog.info(LogEvent.PLATFORM_REACHED, "revision " + revision);
        }
        reachable = true;
        maximumDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    }

    private void backOff(PlatformException failed) throws InterruptedException {
        if (reachable) {
            EventLog.warn(LogEvent.PLATFORM_LOST, failed.getMessage());
        }
        reachable = false;
        // Full jitter: daemons that lost the platform together must not all retry at the same time.
        TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextLong(maximumDelayMillis) + 1);
        maximumDelayMillis = Math.min(MAXIMUM_RETRY_DELAY_MILLIS, maximumDelayMillis * 2);
    }

    @Override
    public void stop() {
        if (thread != null) {
            thread.interrupt();
        }
    }
}
