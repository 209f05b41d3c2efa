package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a watch that ends for ever at an exception: the VM learns of no endpoint that
 * joins, drains or leaves, and of no withdrawn key.
 */
class WatchFailureTest {
    private static final String KIND = "kind";
    private static final int ROUNDS = 20;

    /** Two without a pause and those of a backoff that doubles from 60 ms, with a random half. */
    private static final int MOST_LISTS_IN_A_SECOND = 8;

    /** Lists that follow each other with the longest backoff, a mean of 0.8 s. */
    private static final int MOST_LISTS_IN_A_LATER_SECOND = 4;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PagedStore store = new PagedStore(50);
    private final ObjectMirror mirror = new ObjectMirror();
    private final FailingListener listener = new FailingListener();
    private final KindWatch watch =
            new KindWatch(KIND, channel.eventLoop(), store, mirror, listener);

    /** What a listener throws. */
    enum Failure {
        EXCEPTION(() -> new IllegalStateException("an object that can't be applied")),
        STACK_OVERFLOW(() -> new StackOverflowError("an object that is nested too deeply"));

        private final Supplier<Throwable> thrown;

        Failure(Supplier<Throwable> thrown) {
            this.thrown = thrown;
        }

        private void raise() {
            switch (thrown.get()) {
                case RuntimeException exception -> throw exception;
                case Error error -> throw error;
                default -> throw new AssertionError("neither of both");
            }
        }
    }

    /** Fails as often as it is told to, and keeps the objects as at the last change it applied. */
    private final class FailingListener implements KindWatch.Listener {
        private Failure failure = Failure.EXCEPTION;
        private int failingChanges;
        private int failingContacts;
        private int changes;
        private Optional<Map<String, Long>> applied = Optional.empty();

        @Override
        public void onChange(String kind) {
            changes++;
            if (failingChanges > 0) {
                failingChanges--;
                failure.raise();
            }
            applied = Optional.of(objects(mirror));
        }

        @Override
        public void onReachable(String kind, boolean reachable) {
            if (failingContacts > 0) {
                failingContacts--;
                failure.raise();
            }
        }
    }

    private static Map<String, Long> objects(ObjectMirror mirror) {
        return mirror.items().stream()
                .collect(Collectors.toMap(StoredItem::name, StoredItem::revision));
    }

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    private void advance(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void answerWaiting() {
        for (int calls = store.waitingCalls(); calls > 0; calls--) {
            store.answer(0);
        }
    }

    private void runRounds() {
        for (int round = 0; round < ROUNDS; round++) {
            answerWaiting();
            advance(1_000);
        }
    }

    private void assertFollows() {
        runRounds();
        assertThat(listener.applied).hasValue(store.objectsAt(store.revision()));
        store.put("later");
        runRounds();
        assertThat(listener.applied).hasValue(store.objectsAt(store.revision()));
    }

    /** The mirror already has the objects then, so the next list changes nothing in it. */
    @ParameterizedTest
    @EnumSource
    void aListThatCanNotBeAppliedIsAppliedAgain(Failure failure) {
        listener.failure = failure;
        listener.failingChanges = 2;
        watch.start();
        assertFollows();
    }

    @ParameterizedTest
    @EnumSource
    void aChangeThatCanNotBeAppliedIsAppliedAgain(Failure failure) {
        watch.start();
        runRounds();
        listener.failure = failure;
        listener.failingChanges = 2;
        store.put("b");
        assertFollows();
    }

    /** A check finds a change that the watch has not returned yet. */
    @ParameterizedTest
    @EnumSource
    void aCheckThatCanNotBeAppliedIsAppliedAgain(Failure failure) {
        watch.start();
        answerWaiting();
        advance(1_000);
        store.put("b");
        listener.failure = failure;
        listener.failingChanges = 1;
        watch.check();
        store.answer(1);
        assertThat(listener.failingChanges).isEqualTo(0);
        assertFollows();
    }

    @ParameterizedTest
    @EnumSource
    void aFailedNoticeOfTheContactDoesNotEndTheWatch(Failure failure) {
        listener.failure = failure;
        listener.failingContacts = 2;
        watch.start();
        store.fail(0);
        assertFollows();
    }

    /**
     * @param calls how many calls throw instead of returning a future, the list, the watch after it
     *     and so on
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void aCallThatThrowsIsMadeAgain(int calls) {
        watch.start();
        runRounds();
        store.throwAtNextCalls(calls);
        store.put("b");
        assertFollows();
        store.throwAtNextCalls(calls);
        watch.restart();
        assertFollows();
    }

    /** Guards against lists without a pause while a change can never be applied. */
    @ParameterizedTest
    @EnumSource
    void listsArePacedWhileNoChangeCanBeApplied(Failure failure) {
        listener.failure = failure;
        listener.failingChanges = Integer.MAX_VALUE;
        watch.start();
        for (int millis = 0; millis < 1_000; millis++) {
            store.put("a");
            answerWaiting();
            advance(1);
        }
        assertThat(store.lists()).isAtMost(MOST_LISTS_IN_A_SECOND);
        assertThat(listener.changes).isAtLeast(2);
        listener.failingChanges = 0;
        assertFollows();
    }

    /**
     * Guards against lists in quick succession while the platform responds to lists, and rejects
     * each watch, or responds to it with what can't be read.
     */
    @Test
    void listsArePacedWhileEveryWatchFails() {
        watch.start();
        int lists = 0;
        for (int second = 0; second < 10; second++) {
            lists = store.lists();
            for (int millis = 0; millis < 1_000; millis++) {
                store.put("a");
                answerListsAndFailWatches();
                advance(1);
            }
        }
        assertThat(store.lists() - lists).isAtMost(MOST_LISTS_IN_A_LATER_SECOND);
        assertThat(listener.applied).isPresent();
        assertFollows();
    }

    private void answerListsAndFailWatches() {
        for (int calls = store.waitingCalls(); calls > 0; calls--) {
            if (store.waitingWatches() == 0) {
                store.answer(0);
            } else {
                store.fail(0);
            }
        }
    }
}
