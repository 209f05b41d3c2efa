package org.bronzelug.core.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which requests a VM that stops still sends to endpoints.
 *
 * <p>Load pattern: a planned stop under traffic. Requests go on arriving on open connections, from
 * slow uploads and from the queue, until the process ends, and what is in progress then is cut off.
 * Late in the stop, a request is sent only if it is expected to end before the process does. That
 * is so if its time limit ends before, or if the latest requests of its route were short enough:
 * nearly all of them for a request that may run once only, since its caller can't repeat it, and
 * half of them for any other.
 *
 * <p>Invariants: while the VM does not stop, and early in the stop, all requests are sent. Memory
 * is bounded for each route. Not thread-safe: guarded by its owner.
 */
public final class StopAdmission {
    /** Number of requests of a route whose durations are kept. */
    private static final int REMEMBERED = 64;

    /** Fewer durations say too little; the time limit counts instead. */
    private static final int LEAST_REMEMBERED = 8;

    private static final double QUANTILE_OF_UNREPEATABLE = 0.95;
    private static final double QUANTILE_OF_REPEATABLE = 0.5;

    private final Map<String, Durations> durationsByRoute = new HashMap<>();
    private boolean stopping;
    private long lateNanos;
    private long endNanos;

    /** The durations of a route's latest requests, the oldest of which is overwritten. */
    private static final class Durations {
        private final long[] nanos = new long[REMEMBERED];
        private int next;
        private int known;

        void add(long duration) {
            nanos[next] = duration;
            next = (next + 1) % REMEMBERED;
            known = Math.min(known + 1, REMEMBERED);
        }

        /**
         * Returns the duration that a fraction of the requests did not exceed.
         *
         * @param unknown returned if too few durations are known
         */
        long quantile(double fraction, long unknown) {
            if (known < LEAST_REMEMBERED) {
                return unknown;
            }
            long[] sorted = Arrays.copyOf(nanos, known);
            Arrays.sort(sorted);
            return sorted[(int) Math.ceil(fraction * known) - 1];
        }
    }

    /** Records how long a request took from its arrival to its whole response. */
    public void recordDuration(String route, long nanos) {
        durationsByRoute.computeIfAbsent(route, name -> new Durations()).add(nanos);
    }

    /**
     * Records that the VM stops.
     *
     * @param lateFromNanos the time from which requests must be expected to end in time
     * @param cutOffNanos the time at which requests in progress are cut off
     */
    public void begin(long lateFromNanos, long cutOffNanos) {
        stopping = true;
        lateNanos = lateFromNanos;
        endNanos = cutOffNanos;
    }

    /**
     * Returns whether a request may be sent.
     *
     * @param repeatable whether it may run more than once
     * @param limitNanos when its time limit ends
     */
    public boolean admits(String route, boolean repeatable, long limitNanos, long nowNanos) {
        if (!stopping || nowNanos - lateNanos < 0 || limitNanos - endNanos <= 0) {
            return true;
        }
        Durations durations = durationsByRoute.get(route);
        double quantile = repeatable ? QUANTILE_OF_REPEATABLE : QUANTILE_OF_UNREPEATABLE;
        return durations != null
                && durations.quantile(quantile, Long.MAX_VALUE) <= endNanos - nowNanos;
    }
}
