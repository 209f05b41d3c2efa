package org.bronzelug.core.poison;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * The endpoints at which requests of this VM may still show whether their parts crash endpoints.
 * Not thread-safe.
 */
final class OwnRuns {
    /** Time without a sweep after which this VM was suspended or had no processor time. */
    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Time for which a request that does not begin keeps others with its parts waiting. */
    private static final long MAXIMUM_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Set<EndpointRun> runs = new HashSet<>();
    private long sweptNanos;

    OwnRuns(long nowNanos) {
        sweptNanos = nowNanos;
    }

    void add(EndpointRun run) {
        runs.add(run);
    }

    void remove(EndpointRun run) {
        runs.remove(run);
    }

    Optional<EndpointRun> find(EndpointStart start) {
        return runs.stream().filter(run -> run.start().equals(start)).findFirst();
    }

    /**
     * Looks for parts that endpoints have survived.
     *
     * @param onSurvived receives each such part and the software version of the endpoint
     */
    void sweep(BiConsumer<PartKey, String> onSurvived, long nowNanos) {
        if (nowNanos - sweptNanos > STALL_NANOS) {
            runs.forEach(run -> run.restartSurvival(nowNanos));
        }
        sweptNanos = nowNanos;
        List.copyOf(runs).forEach(run -> sweep(run, onSurvived, nowNanos));
    }

    void sweep(EndpointRun run, BiConsumer<PartKey, String> onSurvived, long nowNanos) {
        run.sweep(part -> onSurvived.accept(part, run.softwareVersion()), nowNanos);
        if (run.isIdle()) {
            runs.remove(run);
        }
    }

    /** Returns the parts of requests with an open outcome that have begun, or have not. */
    Set<PartKey> open(boolean begun, long nowNanos) {
        Set<PartKey> parts = new HashSet<>();
        for (EndpointRun run : runs) {
            parts.addAll(run.open(begun, nowNanos - MAXIMUM_TRIAL_NANOS, nowNanos));
        }
        return parts;
    }
}
