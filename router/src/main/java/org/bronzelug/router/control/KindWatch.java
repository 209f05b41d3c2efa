package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;

/**
 * Keeps the mirror of one kind up to date: lists, then watches until a watch fails, and lists
 * again. Confined to the control thread.
 *
 * <p>A watch that failed is not taken up at its revision. The failure this prevents: the platform
 * loses a change's event, an empty watch returns a revision after it, and the next watch goes on
 * from there; the VM has an older configuration until the next change. Events are lost just before
 * watches are cut, so the list after the cut brings what they missed.
 *
 * <p>While the platform fails, tries are spaced by a random pause that doubles up to a second, so
 * that a fleet that lost the platform at one moment does not come back at one moment.
 */
final class KindWatch {
    private static final long FIRST_PAUSE_MILLIS = 60;
    private static final long LONGEST_PAUSE_MILLIS = 800;

    /**
     * After a change, others are let gather before the next watch, since each watch is paid for and
     * changes come in rows: runners that load weights, versions in quick succession.
     */
    private static final long BATCH_MILLIS = 150;

    /**
     * While one change follows another, the pause doubles up to this: a seventh of the shortest
     * time in which a change must be in force everywhere.
     */
    private static final long MAXIMUM_BATCH_MILLIS = 300;

    /** A change that comes within this of the watch's start follows the one before. */
    private static final long FOLLOWING_NANOS = 1_000_000_000L;

    private static final long NO_CALL = 0;

    /** A watch tells a change that peers know within this, if the platform received it. */
    private static final long EXPECTED_MILLIS = 500;

    private final String kind;
    private final EventLoop control;
    private final ObjectStore store;
    private final ObjectMirror mirror;
    private final Listener listener;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long batchMillis = BATCH_MILLIS;
    private long watchedSinceNanos;
    private boolean reachable = true;
    private boolean paused = true;
    private int round;
    private boolean callUnderWay;
    private long calledNanos;

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

    /** Hears of changes and of the platform's being reached, on the control thread. */
    interface Listener {
        void onChange(String kind);

        void onReachable(String kind, boolean reachable);
    }

    /** Lists and watches until {@link #pause}. */
    void start() {
        paused = false;
        reachable = true;
        restart();
    }

    /** Leaves the platform alone; a call under way changes nothing any more. */
    void pause() {
        paused = true;
        callUnderWay = false;
        round++;
    }

    boolean isReachable() {
        return reachable;
    }

    /**
     * How long the call under way has had no answer. A watch waits for changes, so this alone does
     * not show that the platform is lost.
     */
    long unansweredMillis() {
        return callUnderWay
                ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledNanos)
                : NO_CALL;
    }

    /** Whether a watch is under way, by which the platform is to tell the next change. */
    boolean isWaiting() {
        return !paused && reachable && callUnderWay && mirror.isKnown();
    }

    /**
     * Asks for changes that the watch under way should have told. Where there are any, or no answer
     * comes, that watch is lost.
     *
     * @return the platform's revision
     */
    CompletableFuture<Long> check() {
        int own = round;
        return store.changes(kind, mirror.revision())
                .whenComplete(
                        (changes, failure) -> {
                            if (paused || own != round) {
                                return;
                            }
                            if (failure != null) {
                                round++;
                                watchFailed(failure, mirror.revision());
                            } else {
                                checked(changes);
                            }
                        })
                .thenApply(ItemChanges::revision);
    }

    private void checked(ItemChanges changes) {
        if (!mirror.apply(changes)) {
            return;
        }
        listener.onChange(kind);
        if (callUnderWay) {
            round++;
            watch(changes.revision());
        }
    }

    /**
     * A peer has told a change. The watch under way should tell it too; one that does not is lost.
     */
    void expectChange() {
        long expectedOf = calledNanos;
        if (isWaiting()) {
            later(
                    () -> {
                        if (callUnderWay && calledNanos == expectedOf) {
                            restart();
                        }
                    },
                    EXPECTED_MILLIS);
        }
    }

    /** Drops the watch under way, which may hang on a silent connection, and lists anew. */
    void restart() {
        round++;
        list();
    }

    private void list() {
        int own = round;
        called();
        store.list(kind)
                .whenComplete(
                        (list, failure) -> {
                            if (paused || own != round) {
                                return;
                            }
                            callUnderWay = false;
                            if (failure != null) {
                                failed(failure);
                            } else {
                                listed(list);
                            }
                        });
    }

    private void called() {
        callUnderWay = true;
        calledNanos = System.nanoTime();
    }

    private void listed(ItemList list) {
        reached();
        if (mirror.replaceAll(list)) {
            listener.onChange(kind);
        }
        watch(list.revision());
    }

    private void watch(long revision) {
        int own = round;
        watchedSinceNanos = System.nanoTime();
        called();
        store.watch(kind, revision)
                .whenComplete(
                        (changes, failure) -> {
                            if (paused || own != round) {
                                return;
                            }
                            callUnderWay = false;
                            if (failure != null) {
                                watchFailed(failure, revision);
                            } else {
                                changed(changes);
                            }
                        });
    }

    private void changed(ItemChanges changes) {
        reached();
        if (mirror.apply(changes)) {
            listener.onChange(kind);
        }
        boolean following = System.nanoTime() - watchedSinceNanos < FOLLOWING_NANOS;
        batchMillis = following ? Math.min(MAXIMUM_BATCH_MILLIS, batchMillis * 2) : BATCH_MILLIS;
        later(() -> watch(changes.revision()), batchMillis);
    }

    private void watchFailed(Throwable failure, long revision) {
        Throwable cause = cause(failure);
        boolean gone =
                cause instanceof StoreException store
                        && store.problem() == StoreException.Problem.HISTORY_GONE;
        if (gone) {
            EventLog.info(LogEvent.HISTORY_GONE, "kind=" + kind + " revision=" + revision);
            list();
        } else {
            failed(failure);
        }
    }

    private void failed(Throwable failure) {
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
                            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledNanos)
                            + " cause=\""
                            + cause(failure).getMessage()
                            + "\"");
        }
        long pause = pauseMillis / 2 + ThreadLocalRandom.current().nextLong(pauseMillis);
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
        later(this::list, pause);
    }

    /** Runs a step after a while, unless the watch was paused or begun anew meanwhile. */
    private void later(Runnable step, long millis) {
        int own = round;
        control.schedule(
                () -> {
                    if (!paused && own == round) {
                        step.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void reached() {
        pauseMillis = FIRST_PAUSE_MILLIS;
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
