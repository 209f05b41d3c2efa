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
 * A runner's slot is given back once, whoever gives the request up.
 *
 * <p>What the callers would see: a runner that gets less and less work. The order: a request is
 * given up (its time is over, its caller cancels) in the moment in which it is granted a slot. Why:
 * the one who gives up and the one who grants each take the other to give the slot back.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ModelQueueTest {
    private static final int CAPACITY = 3;
    private static final PrefixChain CHAIN =
            PrefixChain.of("team", "model", 0, List.of("rules", "question"));

    private final Endpoint endpoint = new Endpoint("runner", "pool", "http://127.0.0.1:1");
    private final AtomicReference<Runnable> atLook = new AtomicReference<>(() -> {});
    private final ModelQueue queue =
            new ModelQueue(
                    "pool",
                    1,
                    CAPACITY,
                    this::usable,
                    new PlacementPolicy(PlacementSettings.defaults()));
    private final CompletableFuture<Void> never = new CompletableFuture<>();

    private List<Endpoint> usable() {
        atLook.get().run();
        return List.of(endpoint);
    }

    private ModelQueue.Slot acquire(long untilNanos, CompletableFuture<Void> cancelled)
            throws RejectionException, InterruptedException {
        return queue.acquire("team", CHAIN, Set.of(), untilNanos, cancelled);
    }

    private static long inSeconds(int seconds) {
        return System.nanoTime() + seconds * 1_000_000_000L;
    }

    private static void awaitState(Thread thread, Thread.State state) {
        while (thread.getState() != state) {
            if (Thread.currentThread().isInterrupted()) {
                throw new AssertionError("expected " + state + ", met " + thread.getState());
            }
            Thread.onSpinWait();
        }
    }

    /** Gives the one slot back, but holds the grant until the waiter has given up. */
    private void releaseWhile(ModelQueue.Slot held, Thread waiter, Runnable givingUp) {
        int[] looks = {0};
        atLook.set(
                () -> {
                    if (++looks[0] == 2) {
                        // The waiter's slot is chosen, and not yet told.
                        givingUp.run();
                        awaitState(waiter, Thread.State.BLOCKED);
                    }
                });
        held.endpoint().end();
        queue.release(held.endpoint());
        atLook.set(() -> {});
    }

    private void assertAllGivenBack() throws Exception {
        assertThat(endpoint.inFlight()).isEqualTo(0);
        assertThat(endpoint.load().queuedPrefillTokens()).isEqualTo(0);
        assertThat(acquire(inSeconds(30), never).endpoint()).isSameInstanceAs(endpoint);
    }

    @Test
    void aSlotGrantedAtTheDeadlineIsGivenBackWhole() throws Exception {
        ModelQueue.Slot held = first();
        AtomicReference<RejectionException> refused = new AtomicReference<>();
        long soon = System.nanoTime() + 300_000_000;
        Thread waiter =
                new Thread(
                        () ->
                                refused.set(
                                        assertThrows(
                                                RejectionException.class,
                                                () -> acquire(soon, never))));
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        releaseWhile(held, waiter, () -> {});
        waiter.join();
        assertThat(refused.get().problem().getCode()).isEqualTo("DEADLINE");
        assertThat(refused.get().problem().getRetryAfterMs()).isGreaterThan(0L);
        assertAllGivenBack();
    }

    @Test
    void aRequestCancelledWhileItWaitsIsAnsweredAtOnce() throws Exception {
        ModelQueue.Slot held = first();
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        AtomicReference<RejectionException> refused = new AtomicReference<>();
        Thread waiter =
                new Thread(
                        () ->
                                refused.set(
                                        assertThrows(
                                                RejectionException.class,
                                                () -> acquire(inSeconds(3_600), cancelled))));
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        cancelled.complete(null);
        waiter.join();
        assertThat(refused.get().problem().getCode()).isEqualTo("CANCELLED");
        held.endpoint().end();
        queue.release(held.endpoint());
        assertAllGivenBack();
    }

    @Test
    void aSlotGrantedWhileTheCallerCancelsIsGivenBackWhole() throws Exception {
        ModelQueue.Slot held = first();
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        Thread waiter =
                new Thread(
                        () ->
                                assertThrows(
                                        RejectionException.class,
                                        () -> acquire(inSeconds(3_600), cancelled)));
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        releaseWhile(held, waiter, () -> cancelled.complete(null));
        waiter.join();
        assertAllGivenBack();
    }

    /** The flooding team's newest is told at once, and when to come back. */
    @Test
    void aFullQueueAnswersTheOneItGivesUpAtOnce() throws Exception {
        first();
        List<CompletableFuture<String>> flood = new ArrayList<>();
        for (int request = 0; request < CAPACITY; request++) {
            flood.add(rejection("flood"));
        }
        CompletableFuture<String> quiet = rejection("quiet");
        CompletableFuture.anyOf(flood.toArray(CompletableFuture[]::new)).join();
        List<String> told = new ArrayList<>();
        flood.stream().filter(CompletableFuture::isDone).forEach(f -> told.add(f.join()));
        assertThat(told).containsExactly("OVERLOADED");
        assertThat(quiet.isDone()).isFalse();
    }

    /** Asks on a thread of its own, and returns once it waits; later its refusal. */
    private CompletableFuture<String> rejection(String team) {
        CompletableFuture<String> code = new CompletableFuture<>();
        Thread waiter =
                new Thread(
                        () -> {
                            try {
                                queue.acquire(team, CHAIN, Set.of(), inSeconds(3_600), never);
                            } catch (RejectionException refused) {
                                assertThat(refused.problem().getRetryAfterMs()).isGreaterThan(0L);
                                code.complete(refused.problem().getCode());
                            } catch (InterruptedException stopped) {
                                code.complete("interrupted");
                            }
                        });
        waiter.setDaemon(true);
        waiter.start();
        awaitState(waiter, Thread.State.TIMED_WAITING);
        return code;
    }

    private ModelQueue.Slot first() throws Exception {
        ModelQueue.Slot slot = acquire(inSeconds(30), never);
        endpoint.prefilled(ModelQueue.expectedPrefillTokens(CHAIN, slot.placement()));
        return slot;
    }
}
