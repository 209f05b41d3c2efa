package org.bronzelug.router.order;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.traffic.WeightsTarget;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against orders that make a runner reject many requests which wait at it. */
class RunnerOrderTest {
    private static final String MODEL = "m";
    private static final long ROUND_MILLIS = 50;
    private static final long HELD_BACK_MILLIS = 1_000;

    private final EndpointEntry runner =
            new EndpointEntry(
                    "r", "pool", "127.0.0.1:9", "z", "v1", 6, false, 1, Map.of(MODEL, 1L));

    /** The queue of a runner may end before the order, but holds it back for a second at most. */
    @ParameterizedTest
    @CsvSource({"0, true", "2, true", "1000, false"})
    void anOrderWaitsForTheQueueOfItsRunnerForABoundedTime(int reportsWithQueue, boolean queueEnds)
            throws InterruptedException {
        ReportingRunner runners = new ReportingRunner(reportsWithQueue);
        RunnerOrder order = new RunnerOrder(runner, WeightsTarget.first(MODEL, 2, 0));
        while (runners.waitingAtOrder.isEmpty()) {
            order.advance(
                    runners,
                    (target, sequence) -> Optional.of(new LoadOrder(MODEL, 2, "vm", 1, sequence)),
                    () -> true,
                    (endpoint, target, version) -> {});
            TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS);
        }
        boolean heldBack = order.ageMillis(System.nanoTime()) >= HELD_BACK_MILLIS;
        assertThat(runners.waitingAtOrder.get(0) == 0 || heldBack).isTrue();
        assertThat(queueEnds || heldBack).isTrue();
    }

    /** Reports a queue a number of times, and records the queue reported before each order. */
    private static final class ReportingRunner implements OrderService.Runners {
        private final int reportsWithQueue;
        private final List<Integer> waitingAtOrder = new ArrayList<>();
        private int reports;
        private int waiting;

        private ReportingRunner(int reportsWithQueue) {
            this.reportsWithQueue = reportsWithQueue;
        }

        @Override
        public CompletableFuture<RunnerReport> report(EndpointEntry runner) {
            waiting = reports < reportsWithQueue ? 3 : 0;
            reports++;
            return CompletableFuture.completedFuture(
                    new RunnerReport(OptionalLong.of(1), false, waiting, 0, Map.of(MODEL, 1L)));
        }

        @Override
        public CompletableFuture<OrderOutcome> load(
                EndpointEntry runner, LoadOrder order, BooleanSupplier mayOrder) {
            waitingAtOrder.add(waiting);
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }
    }
}
