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
 * The one thread that owns all control state: configuration, freshness, shares.
 *
 * <p>Invariant: tasks run one at a time, in the order of their hand-in; none may block.
 */
@Singleton
public final class ControlThread implements Service {
    /** Under which the kernel knows this service. */
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

    /** Runs a task on the control thread and gives its result to any other. */
    public <T> CompletableFuture<T> ask(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /** Runs a task on the control thread. */
    public void run(Runnable task) {
        executor.execute(guarded(task));
    }

    /** Runs a task on the control thread again and again. */
    public void every(long millis, Runnable task) {
        executor.scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static Runnable guarded(Runnable task) {
        // An exception would silently end a periodic task: the VM would go stale with no word why.
        return () -> {
            try {
                task.run();
            } catch (RuntimeException unexpected) {
                EventLog.warn(LogEvent.INTERNAL_ERROR, "on the control thread", unexpected);
            }
        };
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }
}
