package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.stream.RecentVersions;

/**
 * Reads from the platform which software versions the pools have now: the stored sets, and what has
 * changed in the list of endpoints since this VM's copy of it. A version is stored before the first
 * stream begins at it, if the platform takes the write; the list shows it in either case.
 *
 * <p>Invariants: a result is of calls that began after it was asked for. One read at a time is
 * waited for, for all that ask meanwhile; reads begin at intervals, and after a failed one none
 * begins for a while, so that many resumptions, and those during an outage of the platform, add few
 * calls to it. Confined to the control thread.
 */
final class CurrentVersions {
    /** Callers of streams wait for a read meanwhile. */
    private static final long READ_MILLIS = 300;

    /** Time between the begins of two reads; the later one serves all that ask meanwhile. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after a failed read. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventLoop control;
    private final ObjectStore store;
    private final String endpointKind;
    private final ObjectMirror endpoints;
    private final Consumer<String> onChange;
    private final List<Consumer<Optional<RecentVersions>>> waiting = new ArrayList<>();
    private boolean reading;
    private boolean scheduled;
    private long reads;
    private long beginNanos = System.nanoTime() - INTERVAL_NANOS;
    private long nextReadNanos = System.nanoTime();

    /**
     * @param onChange receives the kind of endpoints if its objects have changed, and applies them
     */
    CurrentVersions(
            EventLoop control,
            ObjectStore store,
            String endpointKind,
            ObjectMirror endpoints,
            Consumer<String> onChange) {
        this.control = control;
        this.store = store;
        this.endpointKind = endpointKind;
        this.endpoints = endpoints;
        this.onChange = onChange;
    }

    /**
     * Reads the versions.
     *
     * @param onRead receives the stored versions, after the list has been applied; empty if the
     *     platform does not respond in time
     */
    void read(Consumer<Optional<RecentVersions>> onRead) {
        boolean pausing = !reading && System.nanoTime() - nextReadNanos < 0;
        if (pausing || !endpoints.isKnown()) {
            onRead.accept(Optional.empty());
            return;
        }
        waiting.add(onRead);
        beginIfDue();
    }

    private void beginIfDue() {
        if (reading || scheduled || waiting.isEmpty()) {
            return;
        }
        long delayNanos = INTERVAL_NANOS - (System.nanoTime() - beginNanos);
        if (delayNanos <= 0) {
            begin();
            return;
        }
        scheduled = true;
        control.schedule(
                () -> {
                    scheduled = false;
                    beginIfDue();
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    private void begin() {
        beginNanos = System.nanoTime();
        List<Consumer<Optional<RecentVersions>>> served = List.copyOf(waiting);
        waiting.clear();
        reading = true;
        long read = ++reads;
        CompletableFuture<ItemList> stored = store.list(StoredVersions.KIND);
        CompletableFuture<ItemChanges> listed = store.changes(endpointKind, endpoints.revision());
        stored.thenAcceptBoth(
                        listed,
                        (versions, changes) -> {
                            if (isAwaited(read)) {
                                apply(changes);
                                end(
                                        served,
                                        Optional.of(
                                                StoredVersions.recentVersions(versions.items())));
                            }
                        })
                .exceptionally(
                        failure -> {
                            fail(read, served);
                            return null;
                        });
        control.schedule(() -> fail(read, served), READ_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isAwaited(long read) {
        return reading && read == reads;
    }

    private void apply(ItemChanges changes) {
        if (endpoints.apply(changes)) {
            onChange.accept(endpointKind);
        }
    }

    private void fail(long read, List<Consumer<Optional<RecentVersions>>> served) {
        if (isAwaited(read)) {
            nextReadNanos = System.nanoTime() + PAUSE_NANOS;
            List<Consumer<Optional<RecentVersions>>> failed = new ArrayList<>(served);
            failed.addAll(waiting);
            waiting.clear();
            end(failed, Optional.empty());
        }
    }

    private void end(
            List<Consumer<Optional<RecentVersions>>> served, Optional<RecentVersions> result) {
        reading = false;
        served.forEach(onRead -> onRead.accept(result));
        beginIfDue();
    }
}
