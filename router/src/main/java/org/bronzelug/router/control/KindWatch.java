package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ListReader;
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
 * <p>Invariant: no exception ends the watch. If a step or a listener fails, the kind is listed
 * again after a backoff, and the listener is notified then even if the mirror has not changed
 * since. Without this, a VM learns of no further change of the kind after one that it can't apply.
 *
 * <p>After a list in several pages, the changes made between its pages are read at once, so that
 * the mirror becomes a snapshot.
 *
 * <p>After a failed watch the mirror resynchronizes by a list instead of another watch from the
 * last revision. Without this, a change can be missed: the platform loses the change's event, an
 * empty watch returns a later revision, and the next watch starts there, so the VM keeps an older
 * configuration until the next change. Events are lost just before watches are cut, so the list
 * after the cut contains what they missed.
 */
final class KindWatch {
    private static final long INITIAL_BACKOFF_MILLIS = 60;
    private static final long MAXIMUM_BACKOFF_MILLIS = 800;

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
    private final ListReader lists;
    private final PlatformContact contact;
    private final RandomBackoff relistBackoff =
            new RandomBackoff(INITIAL_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS);
    private final ChangeBatching batching = new ChangeBatching();
    private boolean relisted;

    /** Whether the listener has not dealt with the mirror's last change. */
    private boolean unapplied;

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
        this.lists = new ListReader(store, kind);
        this.contact =
                new PlatformContact(
                        kind,
                        listener,
                        new RandomBackoff(INITIAL_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS));
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
        contact.reset();
        restart();
    }

    /** Makes no further calls to the platform; the response to a call in flight is ignored. */
    void pause() {
        paused = true;
        callInFlight = false;
        generation++;
    }

    boolean isReachable() {
        return contact.isReachable();
    }

    /** Returns since when the platform was not reachable, now or the last time that it was not. */
    long lostSinceNanos() {
        return contact.lostSinceNanos();
    }

    /**
     * Returns how long the call in flight has been waiting for a response; 0 if none is. A watch
     * waits for changes, so a long wait alone does not show that the platform is unreachable.
     */
    long unansweredMillis() {
        return callInFlight ? sinceCallStartMillis() : 0;
    }

    /** Returns whether a watch is in flight, through which the platform reports the next change. */
    boolean isWatching() {
        return !paused && contact.isReachable() && callInFlight && mirror.isKnown();
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
        long startNanos = System.nanoTime();
        return begin(() -> store.changes(kind, mirror.revision()))
                .whenComplete(
                        (changes, failure) -> {
                            if (paused || startGeneration != generation) {
                                return;
                            }
                            if (failure != null) {
                                generation++;
                                runSafely(
                                        () ->
                                                onWatchFailure(
                                                        failure, mirror.revision(), startNanos));
                            } else {
                                runSafely(() -> onCheckResponse(changes));
                            }
                        })
                .thenApply(ItemChanges::revision);
    }

    private void onCheckResponse(ItemChanges changes) {
        if (!mirror.apply(changes)) {
            return;
        }
        notifyListener(true);
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
        lists.reset();
        list();
    }

    private void list() {
        call(() -> lists.read(System.nanoTime()), this::onListResponse, this::retryWithBackoff);
    }

    /** Makes a call the current one; a response is ignored if another one is current by then. */
    private <T> void call(
            Supplier<CompletableFuture<T>> call,
            Consumer<T> onSuccess,
            Consumer<Throwable> onFailure) {
        int startGeneration = generation;
        callInFlight = true;
        callStartNanos = System.nanoTime();
        begin(call)
                .whenComplete(
                        (response, failure) -> {
                            if (paused || startGeneration != generation) {
                                return;
                            }
                            callInFlight = false;
                            if (failure != null) {
                                runSafely(() -> onFailure.accept(failure));
                            } else {
                                runSafely(() -> onSuccess.accept(response));
                            }
                        });
    }

    /** Makes a call; one that can't be made is a failed one. */
    private static <T> CompletableFuture<T> begin(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException fault) {
            return CompletableFuture.failedFuture(fault);
        }
    }

    /** Runs a step; if it fails, lists again after a backoff instead of what the step began. */
    private void runSafely(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError fault) {
            long delayMillis = relistBackoff.nextMillis();
            EventLog.warn(
                    LogEvent.INTERNAL_ERROR,
                    "a change was not applied, listing again;"
                            + (" kind=" + kind)
                            + (" revision=" + mirror.revision())
                            + (" delayMillis=" + delayMillis),
                    fault);
            generation++;
            callInFlight = false;
            lists.reset();
            scheduleStep(this::list, delayMillis);
        }
    }

    private void notifyListener(boolean changed) {
        if (changed || unapplied) {
            unapplied = true;
            listener.onChange(kind);
            unapplied = false;
        }
    }

    private void onListResponse(ItemList list) {
        contact.recordSuccess();
        if (list.revision() < mirror.revision()) {
            // A peer has moved the mirror on, so this list can't show what the mirror lacks.
            listAgain();
            return;
        }
        notifyListener(mirror.replaceAll(list));
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
        call(
                () -> store.changes(kind, revision),
                changes -> {
                    applyChanges(changes);
                    watch(changes.revision());
                },
                failure -> onWatchFailure(failure, revision, callStartNanos));
    }

    private void watch(long revision) {
        batching.recordWatchStart(System.nanoTime());
        call(
                () -> store.watch(kind, revision),
                this::onWatchResponse,
                failure -> onWatchFailure(failure, revision, brokenSinceNanos(failure)));
    }

    private void onWatchResponse(ItemChanges changes) {
        applyChanges(changes);
        scheduleStep(() -> watch(changes.revision()), batching.delayMillis(System.nanoTime()));
    }

    private void applyChanges(ItemChanges changes) {
        contact.recordSuccess();
        notifyListener(mirror.apply(changes));
        relisted = false;
        relistBackoff.reset();
    }

    /**
     * Returns since when the platform may not have been reachable through a watch: a watch whose
     * connection breaks waited until then, but one that gets no response may never have arrived.
     */
    private long brokenSinceNanos(Throwable failure) {
        return StoreException.problem(failure) == StoreException.Problem.UNANSWERED
                ? callStartNanos
                : System.nanoTime();
    }

    private void onWatchFailure(Throwable failure, long revision, long failedSinceNanos) {
        if (StoreException.problem(failure) == StoreException.Problem.HISTORY_GONE) {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            EventLog.info(
                    LogEvent.HISTORY_GONE,
                    "kind="
                            + kind
                            + (" revision=" + revision)
                            + (" cause=\"" + cause.getMessage() + "\""));
            listAgain();
        } else {
            retryWatch(failure, failedSinceNanos);
        }
    }

    /**
     * Lists again after a failed watch. The backoff of lists applies as well, unless the watch
     * waited for longer than that: without it, a platform that responds to lists and rejects each
     * watch is listed many times a second, since each list ends the backoff of failed calls.
     */
    private void retryWatch(Throwable failure, long failedSinceNanos) {
        long unansweredMillis = sinceCallStartMillis();
        if (unansweredMillis > MAXIMUM_BACKOFF_MILLIS) {
            relistBackoff.reset();
        }
        long delayMillis =
                contact.recordFailure(
                        failure, mirror.revision(), unansweredMillis, failedSinceNanos);
        scheduleStep(this::list, Math.max(delayMillis, relistBackoff.nextMillis()));
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
        long delayMillis =
                contact.recordFailure(
                        failure, mirror.revision(), sinceCallStartMillis(), callStartNanos);
        scheduleStep(this::list, delayMillis);
    }

    private long sinceCallStartMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - callStartNanos);
    }

    /** Runs a step after a delay, unless this watch was paused or restarted in the meantime. */
    private void scheduleStep(Runnable step, long millis) {
        int startGeneration = generation;
        control.schedule(
                () -> {
                    if (!paused && startGeneration == generation) {
                        runSafely(step);
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
