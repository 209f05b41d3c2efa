package org.bronzelug.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The single thread that owns all control state: configuration, freshness and rate shares.
 *
 * <p>Invariant: tasks run one at a time, in the order of their submission. No task may block.
 */
@Singleton
public final class ControlThread implements Service {
    /** The name under which this service is registered with the kernel. */
    public static final String NAME = "control";

    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "control");
                        thread.setDaemon(true);
                        return thread;
                    });

    @Inject
    public ControlThread() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {}

    /** Runs a task on the control thread and returns a future of its result. */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /** Runs a task on the control thread. */
    public void run(Runnable task) {
        executor.execute(logFailures(task));
    }

    /** Runs a task on the control thread repeatedly, with the given delay between two runs. */
    public void scheduleWithFixedDelay(long delayMillis, Runnable task) {
        executor.scheduleWithFixedDelay(
                logFailures(task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static Runnable logFailures(Runnable task) {
        // Without this, an exception would silently end a periodic task, and the VM would become
        // stale without a log entry that says why.
        return () -> {
            try {
                task.run();
            } catch (RuntimeException unexpected) {
                EventLog.warn(
                        LogEvent.INTERNAL_ERROR, "task on the control thread failed", unexpected);
            }
        };
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }
}
