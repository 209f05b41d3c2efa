package org.bronzelug.core.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which requests a VM that stops still sends to endpoints.
 *
 * <p>Load pattern: a planned stop under traffic. Requests go on arriving on open connections, from
 * slow uploads and from the queue, until the process ends, and what is in progress then is cut off.
 * From a time on, a request is sent only if it is expected to end before, by its time limit or by
 * the durations of the latest requests of its route. A request that may run once only is lost with
 * its response, so that nearly all of the latest ones must have been short enough; one that may be
 * repeated is sent if half of them were.
 *
 * <p>Invariants: before that time, and while the VM doesn't stop, all requests are sent; memory is
 * bounded for each route. Not thread-safe: guarded by its owner.
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

        /** Returns the duration that a fraction of the requests did not exceed, if it is known. */
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
     * @param late the time from which requests must be expected to end in time
     * @param end the time at which requests in progress are cut off
     */
    public void begin(long late, long end) {
        stopping = true;
        lateNanos = late;
        endNanos = end;
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
