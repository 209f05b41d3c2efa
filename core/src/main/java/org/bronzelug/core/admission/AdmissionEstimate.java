package org.bronzelug.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Estimates how long requests wait for the endpoints of one pool: the work ahead divided by the
 * rate at which the pool accepts this VM's work.
 *
 * <p>While requests wait, the rate is measured; it counts only work that was no more urgent than
 * the request, since the more urgent work is sent first. A moment's measurement is combined with
 * the rate before requests had to wait. That rate is limited by demand, so a pool is first assumed
 * to accept at least one request like the waiting one within {@link #FIRST_WAIT_NANOS}. When it
 * accepts none, the estimate grows until the request is expected to be too late.
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class AdmissionEstimate {
    /** Rates adapt to changes of the pool within one to two seconds. */
    private static final double HALF_LIFE_NANOS = 1e9;

    /** Weight of the rate before the wait, as a time for which it was measured. */
    private static final double PRIOR_NANOS = 3e8;

    /** About the time that one runner of a pool needs to end a request. */
    private static final double FIRST_WAIT_NANOS = 2.5e8;

    private final Map<Integer, DecayingSum> recent = new HashMap<>();
    private final Map<Integer, DecayingSum> sinceBusy = new HashMap<>();
    private final Map<Integer, Double> beforeBusy = new HashMap<>();
    private boolean busy;
    private long busySinceNanos;

    /** Records that an endpoint is sent work of this VM. */
    public void recordAccepted(int urgency, long work, long nowNanos) {
        add(recent, urgency, work, nowNanos);
        if (busy) {
            add(sinceBusy, urgency, work, nowNanos);
        }
    }

    private static void add(Map<Integer, DecayingSum> sums, int urgency, long work, long nowNanos) {
        sums.computeIfAbsent(urgency, key -> new DecayingSum(HALF_LIFE_NANOS, nowNanos))
                .add(work, nowNanos);
    }

    /** Records whether requests wait from now on. */
    public void setBusy(boolean waiting, long nowNanos) {
        if (waiting && !busy) {
            busySinceNanos = nowNanos;
            sinceBusy.clear();
            beforeBusy.clear();
            recent.forEach((urgency, sum) -> beforeBusy.put(urgency, sum.ratePerNano(nowNanos)));
        }
        busy = waiting;
    }

    /**
     * Returns the expected time until the pool has accepted some work.
     *
     * @param work the work ahead of a request, and its own
     * @param own the request's own work
     */
    public long waitNanos(long work, long own, int urgency, long nowNanos) {
        return (long) (work / ratePerNano(own, urgency, nowNanos));
    }

    /**
     * Returns the work of the given or a lower urgency that the pool accepts in each nanosecond.
     *
     * @param own work of one request like those that wait
     */
    double ratePerNano(long own, int urgency, long nowNanos) {
        double leastPrior = own / FIRST_WAIT_NANOS;
        if (!busy) {
            return Math.max(leastPrior, sum(recent, urgency, sum -> sum.ratePerNano(nowNanos)));
        }
        double prior = Math.max(leastPrior, sum(beforeBusy, urgency, rate -> rate));
        double measured = sum(sinceBusy, urgency, sum -> sum.value(nowNanos));
        double measuredNanos = weightNanos(nowNanos - busySinceNanos);
        return (measured + prior * PRIOR_NANOS) / (measuredNanos + PRIOR_NANOS);
    }

    private static <V> double sum(
            Map<Integer, V> byUrgency, int urgency, ToDoubleFunction<V> amount) {
        return byUrgency.entrySet().stream()
                .filter(entry -> entry.getKey() >= urgency)
                .mapToDouble(entry -> amount.applyAsDouble(entry.getValue()))
                .sum();
    }

    /** Returns the time that a measurement counts for whose parts lose weight with their age. */
    private static double weightNanos(long nanos) {
        return (1 - Math.pow(0.5, nanos / HALF_LIFE_NANOS)) * HALF_LIFE_NANOS / Math.log(2);
    }
}
