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
 * Reads the platform's objects: once whole, then by watches.
 *
 * <p>Only some VMs hold a watch, chosen by rendezvous hashing, so the platform's load grows by a
 * sixteenth of the fleet; the others hear from their peers, and ask the platform themselves only
 * when their knowledge gets old. A platform that fails is asked with growing, random pauses.
 *
 * <p>One thread of its own; the state is touched on the control thread only.
 */
@Singleton
public final class PlatformWatch implements Service {
    /** Under which the kernel knows this service. */
    public static final String NAME = "platform-watch";

    private static final String WATCHERS_KEY = "platform-watchers";
    private static final int LEAST_WATCHERS = 3;
    private static final int VMS_PER_WATCHER = 16;
    private static final long WATCH_MILLIS = 400;
    private static final long IDLE_MILLIS = 100;
    private static final long LONGEST_PAUSE_MILLIS = 4_000;
    private static final long FIRST_PAUSE_MILLIS = 100;

    private final PlatformClient platform;
    private final ControlThread control;
    private final ControlState state;
    private Thread thread;
    private volatile boolean reachable;
    private long revision = -1;
    private long pauseMillis = FIRST_PAUSE_MILLIS;

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

    /** Whether the last call to the platform was answered. */
    public boolean isReachable() {
        return reachable;
    }

    private void loop() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                if (shouldAsk()) {
                    ask();
                } else {
                    TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** A VM that has not reached the platform goes on asking: it may have an address to tell. */
    private boolean shouldAsk() {
        return !reachable || control.ask(this::isWatcherOrGettingOld).join();
    }

    private boolean isWatcherOrGettingOld() {
        long now = System.nanoTime();
        Optional<Long> age = state.freshness().ageNanos(now).stream().boxed().findFirst();
        boolean old = age.isEmpty() || age.get() > state.freshness().limitNanos() / 2;
        var vms = state.availableVms(now);
        int watchers = Math.max(LEAST_WATCHERS, vms.size() / VMS_PER_WATCHER);
        int place = Rendezvous.order(WATCHERS_KEY, vms).indexOf(state.self().vm());
        return old || place >= 0 && place < watchers;
    }

    private void ask() throws InterruptedException {
        long sent = System.nanoTime();
        try {
            PlatformClient.Listing listing =
                    revision < 0 ? platform.list() : platform.watch(revision, WATCH_MILLIS);
            control.ask(
                            () -> {
                                state.install(listing.objects());
                                state.recordPlatform(sent);
                                return true;
                            })
                    .join();
            revision = listing.revision();
            noteReachable();
        } catch (PlatformException failed) {
            noteFailure(failed);
        }
    }

    private void noteReachable() {
        if (!reachable) {
            EventLog.info(LogEvent.PLATFORM_REACHED, "revision " + revision);
        }
        reachable = true;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    private void noteFailure(PlatformException failed) throws InterruptedException {
        if (reachable) {
            EventLog.warn(LogEvent.PLATFORM_LOST, failed.getMessage());
        }
        reachable = false;
        // Full jitter: a herd of daemons that lost the platform together must not return together.
        TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextLong(pauseMillis) + 1);
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }

    @Override
    public void stop() {
        if (thread != null) {
            thread.interrupt();
        }
    }
}
