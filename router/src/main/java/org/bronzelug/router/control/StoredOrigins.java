package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;
import org.bronzelug.router.stream.StreamOriginDirectory.ArchivedOrigin;

/**
 * Keeps on the platform where open streams began, in one object for each VM, while their pool may
 * have had several software versions. Without this, no VM would know the version of a stream after
 * all VMs that kept its origin have died together.
 *
 * <p>A VM writes its own origins in batches, not in the path of a request; those of the last batch
 * may be lost. A VM reads the objects of all VMs when an origin is looked up that no VM knows.
 *
 * <p>Invariants: this VM's object is not written before what an earlier start of it wrote was read,
 * and one write at a time is in progress. Confined to the control thread.
 */
final class StoredOrigins {
    static final String KIND = "stream-origins";

    /** Least time between two writes of a VM. */
    private static final long WRITE_MILLIS = 200;

    /** Time after a failed call. */
    private static final long RETRY_MILLIS = 500;

    /** Added to the time between two writes for each VM, which bounds the writes of all. */
    private static final long WRITE_MILLIS_PER_VM = 10;

    /** Least time between two reads of all objects: whoever is alive answers lookups itself. */
    private static final long READ_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which what was read of all VMs is dropped. */
    private static final long KNOWN_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final EventLoop control;
    private final ObjectStore store;
    private final String vm;
    private final LinkedHashMap<StreamKey, StreamOrigin> own = new LinkedHashMap<>();
    private final Map<StreamKey, StreamOrigin> known = new HashMap<>();
    private final List<Runnable> waitingLookups = new ArrayList<>();
    private Optional<StoredItem> written = Optional.empty();
    private boolean ownRead;
    private boolean changed;
    private boolean forgotten;
    private boolean writing;
    private boolean stopped;
    private boolean lastReadSucceeded;
    private long nextWriteNanos = System.nanoTime();
    private long lastReadNanos = System.nanoTime() - READ_NANOS;

    StoredOrigins(EventLoop control, ObjectStore store, String vm) {
        this.control = control;
        this.store = store;
        this.vm = vm;
    }

    /** Reads what an earlier start of this VM has written. */
    void start() {
        store.read(KIND, vm)
                .whenComplete(
                        (item, failure) -> {
                            if (failure == null) {
                                written = Optional.of(item);
                                decode(item).forEach(origin -> own.put(origin.key(), origin));
                                ownRead = true;
                            } else if (isAbsent(failure)) {
                                ownRead = true;
                            } else if (!stopped) {
                                control.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                            }
                        });
    }

    /** Ends all writes; what is stored remains, since callers may resume streams elsewhere. */
    void stop() {
        stopped = true;
    }

    /** Has the origins of streams that this VM began kept on the platform. */
    void add(Collection<StreamOrigin> begun) {
        if (!stopped) {
            begun.forEach(origin -> own.put(origin.key(), origin));
            changed |= !begun.isEmpty();
        }
    }

    /** Forgets the origin of a stream that is complete; the next write leaves it out. */
    void forget(StreamKey key) {
        forgotten |= own.remove(key) != null;
    }

    /**
     * Writes what has changed, if the last write was long enough ago.
     *
     * @param vms the number of VMs, which share the platform's writes
     */
    void round(int vms) {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastReadNanos > KNOWN_NANOS) {
            known.clear();
        }
        if (stopped || !ownRead || writing || nowNanos - nextWriteNanos < 0) {
            return;
        }
        forgotten |= own.values().removeIf(origin -> isExpired(origin, nowNanos));
        boolean obsolete = forgotten && own.isEmpty() && written.isPresent();
        if (!changed && !obsolete) {
            return;
        }
        forgotten = false;
        long pauseMillis = Math.max(WRITE_MILLIS, vms * WRITE_MILLIS_PER_VM);
        nextWriteNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        writing = true;
        changed = false;
        if (own.isEmpty()) {
            remove();
        } else {
            write(nowNanos);
        }
    }

    private static boolean isExpired(StreamOrigin origin, long nowNanos) {
        return origin.untilNanos() - nowNanos <= 0;
    }

    private void write(long nowNanos) {
        byte[] content = StreamOriginCodec.encode(own.values(), nowNanos);
        CompletableFuture<StoredItem> call =
                written.map(item -> new StoredItem(vm, item.revision(), content))
                        .map(item -> store.replace(KIND, item))
                        .orElseGet(() -> store.create(KIND, vm, content));
        call.whenComplete(
                (item, failure) -> {
                    if (failure == null) {
                        written = Optional.of(item);
                        writing = false;
                    } else {
                        onWriteFailed(failure);
                    }
                });
    }

    private void remove() {
        if (written.isEmpty()) {
            writing = false;
            return;
        }
        store.remove(KIND, written.get())
                .whenComplete(
                        (nothing, failure) -> {
                            if (failure == null) {
                                written = Optional.empty();
                                writing = false;
                            } else {
                                onWriteFailed(failure);
                            }
                        });
    }

    /** Reads the revision again, as the write may have taken effect, and writes again later. */
    private void onWriteFailed(Throwable failure) {
        changed = true;
        nextWriteNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS);
        EventLog.info(
                LogEvent.STREAM_ORIGINS_NOT_STORED,
                "origins=" + own.size() + " cause=\"" + failure.getMessage() + "\"");
        store.read(KIND, vm)
                .whenComplete(
                        (item, readFailure) -> {
                            if (readFailure == null) {
                                written = Optional.of(item);
                            } else if (isAbsent(readFailure)) {
                                written = Optional.empty();
                            }
                            writing = false;
                        });
    }

    private static boolean isAbsent(Throwable failure) {
        return StoreException.problem(failure) == StoreException.Problem.ABSENT;
    }

    /**
     * Looks up the origin of a stream in the objects of all VMs.
     *
     * @param onRead receives the origin, if it is there
     */
    void find(StreamKey key, Consumer<ArchivedOrigin> onRead) {
        Runnable answer = () -> onRead.accept(new ArchivedOrigin(find(key), lastReadSucceeded));
        boolean reading = !waitingLookups.isEmpty();
        boolean readLately = System.nanoTime() - lastReadNanos < READ_NANOS;
        if (find(key).isPresent() || !reading && readLately) {
            answer.run();
            return;
        }
        waitingLookups.add(answer);
        if (!reading) {
            lastReadNanos = System.nanoTime();
            store.list(KIND).whenComplete((list, failure) -> onListed(list, failure));
        }
    }

    private Optional<StreamOrigin> find(StreamKey key) {
        return Optional.ofNullable(known.get(key))
                .filter(origin -> !isExpired(origin, System.nanoTime()));
    }

    private void onListed(ItemList list, Throwable failure) {
        lastReadSucceeded = failure == null;
        if (lastReadSucceeded) {
            known.clear();
            for (StoredItem item : list.items()) {
                decode(item).forEach(origin -> known.put(origin.key(), origin));
            }
        }
        EventLog.info(
                LogEvent.STREAM_ORIGINS_READ,
                ("lookups=" + waitingLookups.size() + " origins=" + known.size())
                        + (failure == null ? "" : " cause=\"" + failure.getMessage() + "\""));
        List<Runnable> answers = List.copyOf(waitingLookups);
        waitingLookups.clear();
        answers.forEach(Runnable::run);
    }

    private static List<StreamOrigin> decode(StoredItem item) {
        try {
            return StreamOriginCodec.decode(item.content(), System.nanoTime());
        } catch (IOException malformed) {
            EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, "kind=" + KIND + " " + item.name());
            return List.of();
        }
    }
}
