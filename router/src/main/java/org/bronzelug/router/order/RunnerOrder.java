package org.bronzelug.router.order;

import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.traffic.WeightsTarget;

/**
 * The rollout of one version of weights to one runner: gets the runner's report, sends the order if
 * the runner is behind and idle, and gets the report again until it shows the weights.
 *
 * <p>An order whose response was lost may still be carried out seconds later. Each order therefore
 * contains the number of orders that the runner had accepted according to its last report, and the
 * runner rejects an order with another number.
 *
 * <p>Invariant: of a lost order and its retry at most one takes effect. The order is sent again
 * only with the number from a new report: if the runner has accepted the lost order by then, the
 * number has increased; if not, both orders contain the same number. Confined to the control
 * thread.
 */
final class RunnerOrder {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Interval of reports: short enough to notice the end of a load soon, long enough for a runner
     * to respond.
     */
    private static final long REPORT_INTERVAL_MILLIS = 250;

    private final EndpointEntry runner;
    private final WeightsTarget target;
    private final long startNanos = System.nanoTime();
    private boolean callInFlight;
    private long reportRequestNanos = Long.MIN_VALUE;
    private boolean loading;
    private boolean finished;

    RunnerOrder(EndpointEntry runner, WeightsTarget target) {
        this.runner = runner;
        this.target = target;
    }

    long ageMillis(long nowNanos) {
        return (nowNanos - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns whether nothing is left to do: the runner has the weights, has restarted or was
     * removed.
     */
    boolean isOver(Map<String, EndpointEntry> endpoints) {
        EndpointEntry current = endpoints.get(runner.id());
        return finished
                || current == null
                || !current.isSameStart(runner)
                || current.weights().getOrDefault(target.model(), 0L) >= target.version();
    }

    /** Returns whether an order is still to be sent: the runner is not known to load weights. */
    boolean needsLease() {
        return !loading && !finished;
    }

    /**
     * Runs one step, unless a response is pending or the last report was requested too recently.
     */
    void advance(
            OrderService.Runners runners,
            BiFunction<WeightsTarget, Long, Optional<LoadOrder>> orderFor,
            BooleanSupplier mayOrder,
            WeightsListener weightsListener) {
        long nowNanos = System.nanoTime();
        boolean reportedRecently =
                reportRequestNanos != Long.MIN_VALUE
                        && nowNanos - reportRequestNanos < REPORT_INTERVAL_MILLIS * NANOS_PER_MILLI;
        if (callInFlight || reportedRecently) {
            return;
        }
        callInFlight = true;
        reportRequestNanos = nowNanos;
        runners.report(runner)
                .whenComplete(
                        (report, failure) -> {
                            callInFlight = false;
                            if (failure != null) {
                                log(LogEvent.ORDER_FAILED, failure.getMessage());
                                return;
                            }
                            onReport(report, runners, orderFor, mayOrder, weightsListener);
                        });
    }

    private void onReport(
            RunnerReport report,
            OrderService.Runners runners,
            BiFunction<WeightsTarget, Long, Optional<LoadOrder>> orderFor,
            BooleanSupplier mayOrder,
            WeightsListener weightsListener) {
        log(LogEvent.ORDER_WEIGHED, "target=" + target + " report=" + report);
        boolean restarted =
                report.bornMillis().isPresent()
                        && report.bornMillis().getAsLong() != runner.bornMillis();
        if (restarted) {
            finished = true;
            return;
        }
        long version = report.weights().getOrDefault(target.model(), 0L);
        if (version >= target.version()) {
            weightsListener.onWeights(runner, target, version);
            finished = true;
            log(LogEvent.WEIGHTS_LOADED, "version=" + version + ages());
            return;
        }
        loading = report.busy();
        if (!loading) {
            orderFor.apply(target, report.sequence())
                    .ifPresent(order -> sendOrder(order, runners, mayOrder));
        }
    }

    private void sendOrder(
            LoadOrder order, OrderService.Runners runners, BooleanSupplier mayOrder) {
        callInFlight = true;
        log(LogEvent.ORDER_GIVEN, order + ages());
        runners.load(runner, order, mayOrder)
                .whenComplete(
                        (outcome, failure) -> {
                            callInFlight = false;
                            if (failure != null) {
                                log(LogEvent.ORDER_FAILED, failure.getMessage());
                            } else if (outcome != OrderOutcome.ACCEPTED) {
                                log(LogEvent.ORDER_FAILED, outcome.toString());
                            } else {
                                loading = true;
                            }
                        });
    }

    /** Returns the times since this VM chose the runner and since the weights were published. */
    private String ages() {
        long nowNanos = System.nanoTime();
        long publishedMillis =
                (nowNanos - target.publishedNanos().get(target.version())) / NANOS_PER_MILLI;
        return " orderMillis=" + ageMillis(nowNanos) + " publishedMillis=" + publishedMillis;
    }

    private void log(LogEvent event, String detail) {
        EventLog.info(event, "runner=" + runner.id() + " " + detail);
    }

    /** Receives the version of weights that a report shows. */
    interface WeightsListener {
        void onWeights(EndpointEntry runner, WeightsTarget target, long version);
    }
}
