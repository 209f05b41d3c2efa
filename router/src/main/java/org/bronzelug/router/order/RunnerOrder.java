package org.bronzelug.router.order;

import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.traffic.WeightsTarget;

/**
 * One runner's way to new weights: asked what it has, ordered, asked again until it has them.
 *
 * <p>An order without an answer may be carried out seconds later. It is given again only while the
 * runner's count of orders is what it was, and names that count, so of the two one at most takes
 * effect. Confined to the control thread.
 */
final class RunnerOrder {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Often enough to notice the end of a load soon, seldom enough for a runner to answer. */
    private static final long ASK_AGAIN_MILLIS = 250;

    private final EndpointEntry runner;
    private final WeightsTarget target;
    private final long startNanos = System.nanoTime();
    private boolean asking;
    private long askedNanos = Long.MIN_VALUE;
    private boolean finished;

    RunnerOrder(EndpointEntry runner, WeightsTarget target) {
        this.runner = runner;
        this.target = target;
    }

    long ageMillis(long nowNanos) {
        return (nowNanos - startNanos) / NANOS_PER_MILLI;
    }

    /** Whether nothing is left to do: the weights are there, or the runner is not. */
    boolean isOver(Map<String, EndpointEntry> endpoints) {
        EndpointEntry now = endpoints.get(runner.id());
        return finished
                || now == null
                || !now.isSameStart(runner)
                || now.weights().getOrDefault(target.model(), 0L) >= target.version();
    }

    /** One step, unless an answer is awaited. */
    void advance(
            OrderService.Runners runners,
            BiFunction<WeightsTarget, Long, Optional<LoadOrder>> orderFor,
            Learner learner) {
        long nowNanos = System.nanoTime();
        boolean early =
                askedNanos != Long.MIN_VALUE
                        && nowNanos - askedNanos < ASK_AGAIN_MILLIS * NANOS_PER_MILLI;
        if (asking || early) {
            return;
        }
        asking = true;
        askedNanos = nowNanos;
        runners.report(runner)
                .whenComplete(
                        (report, failure) -> {
                            asking = false;
                            if (failure != null) {
                                log(LogEvent.ORDER_FAILED, failure.getMessage());
                                return;
                            }
                            reported(report, runners, orderFor, learner);
                        });
    }

    private void reported(
            RunnerReport report,
            OrderService.Runners runners,
            BiFunction<WeightsTarget, Long, Optional<LoadOrder>> orderFor,
            Learner learner) {
        log(LogEvent.ORDER_WEIGHED, "target=" + target + " report=" + report);
        boolean otherStart =
                report.bornMillis().isPresent()
                        && report.bornMillis().getAsLong() != runner.bornMillis();
        if (otherStart) {
            finished = true;
            return;
        }
        long version = report.weights().getOrDefault(target.model(), 0L);
        if (version >= target.version()) {
            learner.learned(runner, target, version);
            finished = true;
            return;
        }
        if (!report.busy()) {
            orderFor.apply(target, report.sequence()).ifPresent(order -> give(order, runners));
        }
    }

    private void give(LoadOrder order, OrderService.Runners runners) {
        asking = true;
        log(LogEvent.ORDER_GIVEN, order.toString());
        runners.load(runner, order)
                .whenComplete(
                        (outcome, failure) -> {
                            asking = false;
                            if (failure != null) {
                                log(LogEvent.ORDER_FAILED, failure.getMessage());
                            } else if (outcome != OrderOutcome.ACCEPTED) {
                                log(LogEvent.ORDER_FAILED, outcome.toString());
                            }
                        });
    }

    private void log(LogEvent event, String detail) {
        EventLog.info(event, "runner=" + runner.id() + " " + detail);
    }

    /** Takes in what a runner was found to have. */
    interface Learner {
        void learned(EndpointEntry runner, WeightsTarget target, long version);
    }
}
