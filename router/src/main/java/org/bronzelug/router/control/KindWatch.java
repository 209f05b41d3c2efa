package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;

/**
 * Keeps the mirror of one kind of objects up to date by list and watch: lists all objects, then
 * watches for changes after the list's revision until a watch fails, and lists again. Confined to
 * the control thread.
 *
 * <p>Invariant: at most one list or watch is current. A restart, a pause and a lost watch begin a
 * new generation; a response that belongs to an earlier generation is ignored.
 *
 * <p>After a list in several pages, the changes made between its pages are read at once, so that
 * the mirror becomes a snapshot.
 *
 * <p>After a failed watch the mirror resynchronizes by a list instead of another watch from the
 * last revision. Without this, a change can be missed: the platform loses the change's event, an
 * empty watch returns a later revision, and the next watch starts there, so the VM keeps an older
 * configuration until the next change. Events are lost just before watches are cut, so the list
 * after the cut contains what they missed.
 *
 * <p>While the platform fails, attempts are spaced by a random backoff that doubles up to about a
 * second, so that the VMs of a fleet that lost the platform at the same time do not all reconnect
 * at the same time.
 */
final class KindWatch {
    private static final long INITIAL_BACKOFF_MILLIS = 60;
    private static final long MAXIMUM_BACKOFF_MILLIS = 800;

    /**
     * Time after a change before the next watch, in which further changes are batched: each call to
     * the platform is charged for, and changes come in series, such as runners that load weights or
     * versions in quick succession.
     */
    private static final long BATCH_MILLIS = 150;

    /**
     * While changes follow each other closely, the batching time doubles up to this: a seventh of
     * the shortest time in which a change must be in force everywhere.
     */
    private static final long MAXIMUM_BATCH_MILLIS = 300;

    /**
     * A change that arrives within this time after the watch's start counts as following the
     * previous change closely.
     */
    private static final long SUCCESSIVE_CHANGE_NANOS = 1_000_000_000L;

    private static final long NO_CALL = 0;

    /**
     * Time in which a watch returns a change that a peer already has, if the platform received the
     * watch.
     */
    private static final long EXPECTED_CHANGE_MILLIS = 500;

    private final String kind;
    private final EventLoop control;
    private final ObjectStore store;
    private final ObjectMirror mirror;
    private final Listener listener;
    private final RandomBackoff reconnectBackoff =
            new RandomBackoff(INITIAL_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS);
    private final RandomBackoff relistBackoff =
            new RandomBackoff(INITIAL_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS);
    private boolean relisted;
    private long batchMillis = BATCH_MILLIS;
    private long watchStartNanos;
    private boolean reachable = true;
    private boolean paused = true;
    private int generation;
    private boolean callInFlight;
    private long callStartNanos;

    KindWatch(
            String kind,
            EventLoop control,
            ObjectStore store,
            ObjectMirror mirror,
            Listener listener) {
        this.kind = kind;
        this.control = control;
        this.store = store;
        this.mirror = mirror;
        this.listener = listener;
    }

    /**
     * Receives changes of the mirror, and of whether the platform is reachable, on the control
     * thread.
     */
    interface Listener {
        void onChange(String kind);

        void onReachable(String kind, boolean reachable);
    }

    /** Begins to list and watch, until {@link #pause}. */
    void start() {
        paused = false;
        reachable = true;
        restart();
    }

    /** Makes no further calls to the platform; the response to a call in flight is ignored. */
    void pause() {
        paused = true;
        callInFlight = false;
        generation++;
    }

    boolean isReachable() {
        return reachable;
    }

    /**
     * Returns how long the call in flight has been waiting for a response. A watch waits for
     * changes, so a long wait alone does not show that the platform is unreachable.
     */
    long unansweredMillis() {
        return callInFlight
                ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - callStartNanos)
                : NO_CALL;
    }

    /** Returns whether a watch is in flight, through which the platform reports the next change. */
    boolean isWatching() {
        return !paused && reachable && callInFlight && mirror.isKnown();
    }

    /**
     * Asks the platform, without waiting for a change, for changes that the watch in flight should
     * have returned. If there are any, or if no response comes, that watch is considered lost and
     * is replaced.
     *
     * @return the platform's revision
     */
    CompletableFuture<Long> check() {
        int startGeneration = generation;
        return store.changes(kind, mirror.revision())
                .whenComplete(
                        (changes, failure) -> {
                            if (paused || startGeneration != generation) {
                                return;
                            }
                            if (failure != null) {
                                generation++;
                                onWatchFailure(failure, mirror.revision());
                            } else {
                                onCheckResponse(changes);
                            }
                        })
                .thenApply(ItemChanges::revision);
    }

    private void onCheckResponse(ItemChanges changes) {
        if (!mirror.apply(changes)) {
            return;
        }
        listener.onChange(kind);
        if (callInFlight) {
            generation++;
            watch(changes.revision());
        }
    }

    /**
     * Notes that a peer has returned a change. The watch in flight should return it too; if it does
     * not within {@link #EXPECTED_CHANGE_MILLIS}, it is considered lost and the kind is listed
     * again.
     */
    void expectChange() {
        long expectedCallNanos = callStartNanos;
        if (isWatching()) {
            scheduleStep(
                    () -> {
                        if (callInFlight && callStartNanos == expectedCallNanos) {
                            restart();
                        }
                    },
                    EXPECTED_CHANGE_MILLIS);
        }
    }

    /** Abandons the call in flight, which may hang on a silent connection, and lists again. */
    void restart() {
        generation++;
        list();
    }

    private void list() {
        int startGeneration = generation;
        recordCallStart();
        store.list(kind)
                .whenComplete(
                        (list, failure) -> {
                            if (paused || startGeneration != generation) {
                                return;
                            }
                            callInFlight = false;
                            if (failure != null) {
                                retryWithBackoff(failure);
                            } else {
                                onListResponse(list);
                            }
                        });
    }

    private void recordCallStart() {
        callInFlight = true;
        callStartNanos = System.nanoTime();
    }

    private void onListResponse(ItemList list) {
        recordReachable();
        if (list.revision() < mirror.revision()) {
            // A peer has moved the mirror on, so this list can't show what the mirror lacks.
            listAgain();
            return;
        }
        if (mirror.replaceAll(list)) {
            listener.onChange(kind);
        }
        if (mirror.isSnapshot()) {
            watch(list.revision());
        } else {
            readChangesDuringList(list.revision());
        }
    }

    /**
     * Reads the changes made between the pages of a list without waiting for one: if there are none
     * of this kind, a watch would wait, and peers could not read the mirror until then.
     */
    private void readChangesDuringList(long revision) {
        recordCallStart();
        onResponse(
                store.changes(kind, revision),
                revision,
                changes -> {
                    applyChanges(changes);
                    watch(changes.revision());
                });
    }

    private void watch(long revision) {
        watchStartNanos = System.nanoTime();
        recordCallStart();
        onResponse(store.watch(kind, revision), revision, this::onWatchResponse);
    }

    private void onResponse(
            CompletableFuture<ItemChanges> call, long revision, Consumer<ItemChanges> onChanges) {
        int startGeneration = generation;
        call.whenComplete(
                (changes, failure) -> {
                    if (paused || startGeneration != generation) {
                        return;
                    }
                    callInFlight = false;
                    if (failure != null) {
                        onWatchFailure(failure, revision);
                    } else {
                        onChanges.accept(changes);
                    }
                });
    }

    private void onWatchResponse(ItemChanges changes) {
        applyChanges(changes);
        boolean successive = System.nanoTime() - watchStartNanos < SUCCESSIVE_CHANGE_NANOS;
        batchMillis = successive ? Math.min(MAXIMUM_BATCH_MILLIS, batchMillis * 2) : BATCH_MILLIS;
        scheduleStep(() -> watch(changes.revision()), batchMillis);
    }

    private void applyChanges(ItemChanges changes) {
        recordReachable();
        relisted = false;
        relistBackoff.reset();
        if (mirror.apply(changes)) {
            listener.onChange(kind);
        }
    }

    private void onWatchFailure(Throwable failure, long revision) {
        Throwable cause = cause(failure);
        boolean historyGone =
                cause instanceof StoreException store
                        && store.problem() == StoreException.Problem.HISTORY_GONE;
        if (historyGone) {
            EventLog.info(LogEvent.HISTORY_GONE, "kind=" + kind + " revision=" + revision);
            listAgain();
        } else {
            retryWithBackoff(failure);
        }
    }

    /**
     * Lists again in place of a watch: at once the first time, then with a backoff until changes
     * are returned. Without the backoff, a platform that keeps less history than a list takes is
     * listed without a pause.
     */
    private void listAgain() {
        if (relisted) {
            scheduleStep(this::list, relistBackoff.nextMillis());
        } else {
            relisted = true;
            list();
        }
    }

    private void retryWithBackoff(Throwable failure) {
        if (reachable) {
            reachable = false;
            listener.onReachable(kind, false);
            EventLog.warn(
                    LogEvent.PLATFORM_LOST,
                    "kind="
                            + kind
                            + " revision="
                            + mirror.revision()
                            + " unansweredMillis="
                            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - callStartNanos)
                            + " cause=\""
                            + cause(failure).getMessage()
                            + "\"");
        }
        scheduleStep(this::list, reconnectBackoff.nextMillis());
    }

    /** Runs a step after a delay, unless this watch was paused or restarted in the meantime. */
    private void scheduleStep(Runnable step, long millis) {
        int startGeneration = generation;
        control.schedule(
                () -> {
                    if (!paused && startGeneration == generation) {
                        step.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void recordReachable() {
        reconnectBackoff.reset();
        if (!reachable) {
            reachable = true;
            listener.onReachable(kind, true);
            EventLog.info(LogEvent.PLATFORM_REACHED, "kind=" + kind);
        }
    }

    private static Throwable cause(Throwable failure) {
        return failure.getCause() == null ? failure : failure.getCause();
    }
}
