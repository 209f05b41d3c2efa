package org.bronzelug.daemon.caller;

import io.grpc.stub.ServerCallStreamObserver;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.api.Chunk;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.daemon.generate.ChunkSink;

/**
 * Sends chunks to one caller, and waits while the caller is slow, so that nothing piles up here.
 *
 * <p>Thread-safe: one thread sends, gRPC's own tell of readiness and cancellation.
 */
final class GrpcChunkSink implements ChunkSink {
    private static final long RECHECK_MILLIS = 1_000;

    private final ServerCallStreamObserver<GenerateEvent> observer;
    private final CompletableFuture<Void> gone = new CompletableFuture<>();

    GrpcChunkSink(ServerCallStreamObserver<GenerateEvent> observer) {
        this.observer = observer;
        observer.setOnReadyHandler(this::wake);
        observer.setOnCancelHandler(this::goAway);
    }

    private void goAway() {
        wake();
        gone.complete(null);
    }

    @Override
    public void onCancel(Runnable action) {
        gone.thenRun(action);
    }

    private synchronized void wake() {
        notifyAll();
    }

    @Override
    public synchronized boolean send(int offset, String text) {
        try {
            while (!observer.isReady() && !observer.isCancelled()) {
                wait(RECHECK_MILLIS);
            }
        } catch (InterruptedException stopped) {
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
