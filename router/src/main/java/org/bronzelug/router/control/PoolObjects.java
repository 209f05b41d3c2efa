package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;

/**
 * The objects of one kind that the VMs keep on the platform, one for each pool. A VM lists them
 * once at its start.
 *
 * <p>Writing needs no lease: the first VM of a pool's rendezvous order writes, conditionally on the
 * object's revision. The others read whether it has, and the next ones write if it has not.
 *
 * <p>Invariant: nothing is written before the objects were listed, and one call at a time is in
 * progress. Confined to the control thread.
 */
final class PoolObjects {
    /** The VMs that may write, so that one that is cut off does not prevent a write. */
    private static final int WRITERS = 3;

    /** Time that each VM of a higher rank has to write, before this one does. */
    private static final long WAIT_PER_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long RETRY_MILLIS = 500;

    /** Time between two reads of a VM that does not write. */
    private static final long READ_MILLIS = 2_000;

    private final EventLoop control;
    private final ObjectStore store;
    private final String vm;
    private final MemberTable members;
    private final String kind;
    private final LogEvent written;
    private final Consumer<List<StoredItem>> onListed;
    private final Map<String, StoredItem> stored = new HashMap<>();
    private final Map<String, Long> differsSinceNanos = new HashMap<>();

    /** The pools whose objects were read since they differ. */
    private final Set<String> checked = new HashSet<>();

    private boolean listed;
    private boolean callInFlight;
    private boolean stopped;
    private long nextCallNanos = System.nanoTime();

    /**
     * @param written the log event of a write
     * @param onListed receives the objects, once
     */
    PoolObjects(
            EventLoop control,
            ObjectStore store,
            String vm,
            MemberTable members,
            String kind,
            LogEvent written,
            Consumer<List<StoredItem>> onListed) {
        this.control = control;
        this.store = store;
        this.vm = vm;
        this.members = members;
        this.kind = kind;
        this.written = written;
        this.onListed = onListed;
    }

    void start() {
        store.list(kind)
                .whenComplete(
                        (list, failure) -> {
                            if (failure == null) {
                                list.items().forEach(item -> stored.put(item.name(), item));
                                listed = true;
                                onListed.accept(list.items());
                            } else if (!stopped) {
                                control.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                            }
                        });
    }

    void stop() {
        stopped = true;
    }

    /** Returns the object of a pool as it was last read or written; empty if there is none. */
    Optional<StoredItem> find(String pool) {
        return Optional.ofNullable(stored.get(pool));
    }

    /** Returns the pools that have an object. */
    Set<String> pools() {
        return Set.copyOf(stored.keySet());
    }

    /** Records that the object of a pool is as it should be. */
    void recordEqual(String pool) {
        differsSinceNanos.remove(pool);
        checked.remove(pool);
    }

    /**
     * Writes the object of a pool, which differs from what it should be, or reads whether another
     * VM has written it, if it is this VM's turn.
     *
     * @param description what is written, for the log
     */
    void writeIfDue(String pool, Supplier<byte[]> content, String description) {
        long nowNanos = System.nanoTime();
        long sinceNanos = differsSinceNanos.computeIfAbsent(pool, name -> nowNanos);
        boolean pausing = callInFlight || nowNanos - nextCallNanos < 0;
        if (!listed || stopped || pausing) {
            return;
        }
        int rank = Math.min(rank(pool, nowNanos), WRITERS);
        if (nowNanos - sinceNanos < rank * WAIT_PER_RANK_NANOS) {
            return;
        }
        boolean writes = rank == 0 || rank < WRITERS && checked.contains(pool);
        if (writes) {
            write(pool, content.get(), description);
        } else {
            callInFlight = true;
            checked.add(pool);
            read(pool, rank < WRITERS ? RETRY_MILLIS : READ_MILLIS);
        }
    }

    private int rank(String pool, long nowNanos) {
        List<String> names = new ArrayList<>();
        names.add(vm);
        members.live(nowNanos).forEach(member -> names.add(member.state().getVm()));
        return Rendezvous.order(pool, names).indexOf(vm);
    }

    private void write(String pool, byte[] content, String description) {
        callInFlight = true;
        CompletableFuture<StoredItem> call =
                find(pool)
                        .map(known -> new StoredItem(pool, known.revision(), content))
                        .map(item -> store.replace(kind, item))
                        .orElseGet(() -> store.create(kind, pool, content));
        call.whenComplete(
                (item, failure) -> {
                    String outcome = failure == null ? "written" : failure.getMessage();
                    EventLog.info(
                            written,
                            "pool=" + pool + " " + description + " outcome=\"" + outcome + "\"");
                    if (failure == null) {
                        stored.put(pool, item);
                        endCall(RETRY_MILLIS);
                    } else {
                        read(pool, RETRY_MILLIS);
                    }
                });
    }

    /**
     * Reads an object that another VM may have written or an operator removed.
     *
     * @param pauseMillis time until the next call
     */
    private void read(String pool, long pauseMillis) {
        store.read(kind, pool)
                .whenComplete(
                        (item, failure) -> {
                            if (failure == null) {
                                stored.put(pool, item);
                            } else if (StoreException.problem(failure)
                                    == StoreException.Problem.ABSENT) {
                                stored.remove(pool);
                            }
                            endCall(pauseMillis);
                        });
    }

    private void endCall(long pauseMillis) {
        callInFlight = false;
        nextCallNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
    }
}
