package org.bronzelug.daemon.generate;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.bronzelug.core.placement.PlacementPolicy;
import org.bronzelug.core.placement.PlacementSettings;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.daemon.runner.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a runner slot that is never released, so that the runner gets fewer and fewer
 * requests. This happens when a request times out or is cancelled at the moment in which a slot is
 * granted to it, and the waiting thread and the granting thread each leave the release to the
 * other.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ModelQueueTest {
    private static final int CAPACITY = 3;
    private static final PrefixChain CHAIN =
            PrefixChain.of("team", "model", 0, List.of("rules", "question"));

    private final Endpoint endpoint = new Endpoint("runner", "pool", "http://127.0.0.1:1");
    private final AtomicReference<Runnable> onUsableLookup = new AtomicReference<>(() -> {});
    private final ModelQueue queue =
            new ModelQueue(
                    "pool",
                    1,
                    CAPACITY,
                    this::usable,
                    new PlacementPolicy(PlacementSettings.defaults()));
    private final CompletableFuture<Void> neverCancelled = new CompletableFuture<>();

    private List<Endpoint> usable() {
        onUsableLookup.get().run();
        return List.of(endpoint);
    }

    private ModelQueue.Slot acquire(long deadlineNanos, CompletableFuture<Void> cancelled)
            throws RejectionException, InterruptedException {
        return queue.acquire("team", CHAIN, Set.of(), deadlineNanos, cancelled);
    }

    private static long deadlineInSeconds(int seconds) {
        return System.nanoTime() + seconds * 1_000_000_000L;
    }

    private static void awaitState(Thread thread, Thread.State state) {
        while (thread.getState() != state) {
            if (Thread.currentThread().isInterrupted()) {
                throw new AssertionError("expected " + state + ", found " + thread.getState());
            }
            Thread.onSpinWait();
        }
    }

    /**
     * Releases the only slot, but delays its grant until the waiter has timed out or is cancelled.
     */
    private void releaseDuring(ModelQueue.Slot held, Thread waiter, Runnable abandon) {
        int[] lookups = {0};
        onUsableLookup.set(
                () -> {
                    if (++lookups[0] == 2) {
                        // The slot for the waiter is chosen, but the waiter is not notified yet.
                        abandon.run();
                        awaitState(waiter, Thread.State.BLOCKED);
                    }
                });
        held.endpoint().recordEnded();
        queue.release(held.endpoint());
        onUsableLookup.set(() -> {});
    }

    private void assertSlotReleased() throws Exception {
        assertThat(endpoint.inFlight()).isEqualTo(0);
        assertThat(endpoint.load().queuedPrefillTokens()).isEqualTo(0);
        assertThat(acquire(deadlineInSeconds(30), neverCancelled).endpoint())
                .isSameInstanceAs(endpoint);
    }

    @Test
    void slotGrantedAtTheDeadlineIsReleased() throws Exception {
        ModelQueue.Slot held = acquireFirstSlot();
        AtomicReference<RejectionException> rejected = new AtomicReference<>();
        long deadline = System.nanoTime() + 300_000_000;
        Thread waiter =
                new Thread(
                        () ->
                                rejected.set(
                                        assertThrows(
                                                RejectionException.class,
                                                () -> acquire(deadline, neverCancelled))));
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        releaseDuring(held, waiter, () -> {});
        waiter.join();
        assertThat(rejected.get().problem().getCode()).isEqualTo("DEADLINE");
        assertThat(rejected.get().problem().getRetryAfterMs()).isGreaterThan(0L);
        assertSlotReleased();
    }

    @Test
    void requestCancelledWhileWaitingIsRejectedAtOnce() throws Exception {
        ModelQueue.Slot held = acquireFirstSlot();
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        AtomicReference<RejectionException> rejected = new AtomicReference<>();
        Thread waiter =
                new Thread(
                        () ->
                                rejected.set(
                                        assertThrows(
                                                RejectionException.class,
                                                () ->
                                                        acquire(
                                                                deadlineInSeconds(3_600),
                                                                cancelled))));
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        cancelled.complete(null);
        waiter.join();
        assertThat(rejected.get().problem().getCode()).isEqualTo("CANCELLED");
        held.endpoint().recordEnded();
        queue.release(held.endpoint());
        assertSlotReleased();
    }

    @Test
    void slotGrantedDuringCancellationIsReleased() throws Exception {
        ModelQueue.Slot held = acquireFirstSlot();
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        Thread waiter =
                new Thread(
                        () ->
                                assertThrows(
                                        RejectionException.class,
                                        () -> acquire(deadlineInSeconds(3_600), cancelled)));
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        releaseDuring(held, waiter, () -> cancelled.complete(null));
        waiter.join();
        assertSlotReleased();
    }

    /**
     * Guards against a full queue that lets requests wait in vain: the newest request of the team
     * with the most waiting requests must be rejected at once, with a time for the retry.
     */
    @Test
    void fullQueueRejectsNewestRequestOfTheTeamWithMostWaiting() throws Exception {
        acquireFirstSlot();
        List<CompletableFuture<String>> flood = new ArrayList<>();
        for (int request = 0; request < CAPACITY; request++) {
            flood.add(requestSlot("flood"));
        }
        CompletableFuture<String> quiet = requestSlot("quiet");
        CompletableFuture.anyOf(flood.toArray(CompletableFuture[]::new)).join();
        List<String> rejectedCodes = new ArrayList<>();
        flood.stream().filter(CompletableFuture::isDone).forEach(f -> rejectedCodes.add(f.join()));
        assertThat(rejectedCodes).containsExactly("OVERLOADED");
        assertThat(quiet.isDone()).isFalse();
    }

    /**
     * Requests a slot on a new thread and returns once that thread waits.
     *
     * @return the problem code of the later rejection
     */
    private CompletableFuture<String> requestSlot(String team) {
        CompletableFuture<String> code = new CompletableFuture<>();
        Thread waiter =
                new Thread(
                        () -> {
                            try {
                                queue.acquire(
                                        team,
                                        CHAIN,
                                        Set.of(),
                                        deadlineInSeconds(3_600),
                                        neverCancelled);
                            } catch (RejectionException rejected) {
                                assertThat(rejected.problem().getRetryAfterMs()).isGreaterThan(0L);
                                code.complete(rejected.problem().getCode());
                            } catch (InterruptedException interrupted) {
                                code.complete("interrupted");
                            }
                        });
        waiter.setDaemon(true);
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        return code;
    }

    private ModelQueue.Slot acquireFirstSlot() throws Exception {
        ModelQueue.Slot slot = acquire(deadlineInSeconds(30), neverCancelled);
        endpoint.recordPrefilled(ModelQueue.expectedPrefillTokens(CHAIN, slot.placement()));
        return slot;
    }
}
