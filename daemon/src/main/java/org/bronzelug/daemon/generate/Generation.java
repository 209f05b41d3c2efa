package org.bronzelug.daemon.generate;

import java.util.concurrent.CompletableFuture;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.stream.StreamProgress;

/**
 * One generation in progress. Thread-safe.
 *
 * <p>The deadline applies until the first chunk arrives. After that, only the time that a runner
 * may be silent is limited.
 */
final class Generation {
    private final String team;
    private final String requestId;
    private final String model;
    private final PrefixChain chain;
    private final long deadlineNanos;
    private final StreamProgress progress;
    private final ChunkSink sink;
    private final CompletableFuture<Void> cancelled = new CompletableFuture<>();

    Generation(
            String team,
            String requestId,
            String model,
            PrefixChain chain,
            long deadlineNanos,
            StreamProgress progress,
            ChunkSink sink) {
        this.team = team;
        this.requestId = requestId;
        this.model = model;
        this.chain = chain;
        this.deadlineNanos = deadlineNanos;
        this.progress = progress;
        this.sink = sink;
        sink.onCancel(this::cancel);
    }

    String team() {
        return team;
    }

    String requestId() {
        return requestId;
    }

    String model() {
        return model;
    }

    PrefixChain chain() {
        return chain;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    StreamProgress progress() {
        return progress;
    }

    ChunkSink sink() {
        return sink;
    }

    void cancel() {
        cancelled.complete(null);
    }

    /** Returns a future that completes when the caller cancels or disconnects. */
    CompletableFuture<Void> cancelled() {
        return cancelled;
    }

    boolean isCancelled() {
        return cancelled.isDone() || sink.isCancelled();
    }
}
