package org.bronzelug.daemon.caller;

import io.grpc.stub.ServerCallStreamObserver;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.api.Chunk;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.daemon.generate.ChunkSink;

/**
 * Sends chunks to one caller with backpressure: blocks while the transport is not ready, so that no
 * chunks are buffered for a slow caller.
 *
 * <p>Thread-safe: one thread sends; gRPC's threads report readiness and cancellation.
 */
final class GrpcChunkSink implements ChunkSink {
    private static final long RECHECK_MILLIS = 1_000;

    private final ServerCallStreamObserver<GenerateEvent> observer;
    private final CompletableFuture<Void> cancelled = new CompletableFuture<>();

    GrpcChunkSink(ServerCallStreamObserver<GenerateEvent> observer) {
        this.observer = observer;
        observer.setOnReadyHandler(this::wakeSender);
        observer.setOnCancelHandler(this::handleCancel);
    }

    private void handleCancel() {
        wakeSender();
        cancelled.complete(null);
    }

    @Override
    public void onCancel(Runnable action) {
        cancelled.thenRun(action);
    }

    private synchronized void wakeSender() {
        notifyAll();
    }

    @Override
    public synchronized boolean send(int offset, String text) {
        try {
            while (!observer.isReady() && !observer.isCancelled()) {
                wait(RECHECK_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
        if (observer.isCancelled()) {
            return false;
        }
        Chunk chunk = Chunk.newBuilder().setOffset(offset).setText(text).build();
        observer.onNext(GenerateEvent.newBuilder().setChunk(chunk).build());
        return true;
    }

    @Override
    public boolean isCancelled() {
        return observer.isCancelled();
    }
}
