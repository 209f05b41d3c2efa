package org.bronzelug.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One VM's view of the request rate limit that an endpoint advertises for all VMs together. The
 * object covers one start of the endpoint; a restarted endpoint gets a new object.
 *
 * <p>The limit protects an overloaded endpoint: it receives requests at the advertised rate, and
 * the remaining requests are sent to other endpoints. All VMs draw on one {@link FleetBucket},
 * without a message for each request. The limit stays in force until a later response, to any VM,
 * advertises another limit or none. It does not expire without responses, since an endpoint that is
 * sent no requests sends no responses.
 *
 * <p>Invariant: the limit in force is the latest that this VM or a peer has observed and reported;
 * older observations are ignored. Not thread-safe: guarded by its owner. Times are the local
 * monotonic clock's nanoseconds.
 */
public final class EndpointLimit {
    /**
     * Bucket units per request. The bucket counts in whole units, but a limit may be fractional.
     */
    private static final long UNITS_PER_REQUEST = 1_000;

    /**
     * Minimum rate in requests per second. An endpoint that advertises a rate of 0 still gets a
     * request now and then, since otherwise no response could end the limit.
     */
    private static final double MINIMUM_RATE = 0.1;

    /** Requests that may be sent at once in addition to the requests of one second. */
    private static final double MINIMUM_BURST = 1;

    /** Number of recent request sizes from which the minimum admitted size is computed. */
    private static final int MAXIMUM_SIZES = 64;

    /** A bucket filled above this fraction of its burst is about to lose what accrues. */
    private static final double ALMOST_FULL_FRACTION = 0.9;

    private static final AdvertisedLimit NONE = new AdvertisedLimit.None();

    private final FleetBucket bucket;
    private final Deque<Long> sizes = new ArrayDeque<>();
    private AdvertisedLimit limit = NONE;
    private long observedNanos;
    private long reportedAdmitted;

    public EndpointLimit(long nowNanos) {
        this.observedNanos = nowNanos;
        this.bucket =
                new FleetBucket(
                        MINIMUM_RATE * UNITS_PER_REQUEST,
                        MINIMUM_BURST * UNITS_PER_REQUEST,
                        0,
                        nowNanos);
    }

    /**
     * Records the limit that a response to this VM or to a peer advertised.
     *
     * @param seenNanos when the response arrived
     * @return whether the limit has changed
     */
    public boolean observe(AdvertisedLimit advertised, long seenNanos, long nowNanos) {
        if (seenNanos < observedNanos || advertised instanceof AdvertisedLimit.Malformed) {
            return false;
        }
        observedNanos = seenNanos;
        if (advertised.equals(limit)) {
            return false;
        }
        if (advertised instanceof AdvertisedLimit.Rate rate) {
            restartBucket(rate.requestsPerSecond(), nowNanos);
        }
        limit = advertised;
        return true;
    }

    /**
     * Restarts the bucket at a new rate. Without a previous limit the bucket starts empty, since
     * the endpoint already has enough work. With one the bucket keeps its level; if the rate falls,
     * the level is scaled down with it, so that a debt takes as many seconds to refill as before.
     */
    private void restartBucket(double requestsPerSecond, long nowNanos) {
        double rate = Math.max(MINIMUM_RATE, requestsPerSecond) * UNITS_PER_REQUEST;
        double level =
                isAdvertised() ? bucket.level(nowNanos) * Math.min(1, rate / bucket.rate()) : 0;
        bucket.restart(rate, MINIMUM_BURST * UNITS_PER_REQUEST + rate, level, nowNanos);
    }

    public boolean isAdvertised() {
        return limit instanceof AdvertisedLimit.Rate;
    }

    public AdvertisedLimit limit() {
        return limit;
    }

    /**
     * Returns the arrival time of the latest response that showed the current limit, or its
     * absence.
     */
    public long observedNanos() {
        return observedNanos;
    }

    /**
     * Takes one request from the bucket; always succeeds without a limit.
     *
     * <p>The limit counts requests regardless of their size. If the demand exceeds the limit and
     * small requests can be sent elsewhere, the limit is therefore left to the largest requests.
     *
     * @param size size of the request, in any unit that all requests of the endpoint share
     * @param elsewhere whether an endpoint without a limit can serve the request
     * @param draw random number, uniform in [0, 1)
     */
    public boolean tryAcquire(long size, boolean elsewhere, double draw, long nowNanos) {
        if (!isAdvertised()) {
            return true;
        }
        sizes.addLast(size);
        if (sizes.size() > MAXIMUM_SIZES) {
            sizes.removeFirst();
        }
        if (elsewhere && size < minimumSize(nowNanos)) {
            bucket.recordDemand(UNITS_PER_REQUEST, nowNanos);
            return false;
        }
        return bucket.tryAcquire(UNITS_PER_REQUEST, draw, nowNanos);
    }

    /**
     * Returns the minimum size of admitted requests: the quantile of the recent sizes above which
     * the demand equals the limit; 0 while the demand is below the limit.
     */
    private long minimumSize(long nowNanos) {
        double demand = bucket.demandRate(nowNanos);
        boolean isAlmostFull = bucket.level(nowNanos) > ALMOST_FULL_FRACTION * bucket.burst();
        if (isAlmostFull || demand <= bucket.rate()) {
            return 0;
        }
        long[] sorted = sizes.stream().mapToLong(Long::longValue).sorted().toArray();
        return sorted[(int) ((1 - bucket.rate() / demand) * (sorted.length - 1))];
    }

    /** Returns an acquired request to the bucket, since it did not reach the endpoint. */
    public void refund(long nowNanos) {
        if (isAdvertised()) {
            bucket.refund(UNITS_PER_REQUEST, nowNanos);
        }
    }

    /**
     * Returns the time until one more request may be sent to the endpoint.
     *
     * @param draw random number, uniform in [0, 1), that spreads the retries of callers
     */
    public long nanosUntil(double draw, long nowNanos) {
        return isAdvertised() ? bucket.nanosUntil(UNITS_PER_REQUEST, draw, nowNanos) : 0;
    }

    /** Returns how many requests could be sent at once; negative if too many have been sent. */
    public double level(long nowNanos) {
        return bucket.level(nowNanos) / UNITS_PER_REQUEST;
    }

    /** Returns this VM's usage, for publication to its peers. */
    public Usage usage(long nowNanos) {
        return new Usage(bucket.admitted(), bucket.offered(), (long) bucket.level(nowNanos));
    }

    /** Returns whether this VM has sent requests since the previous call of this method. */
    public boolean hasUsageChanged() {
        long previous = reportedAdmitted;
        reportedAdmitted = bucket.admitted();
        return previous != reportedAdmitted;
    }

    /** Records the usage that a peer has published. */
    public void recordPeer(String vm, String incarnation, Usage usage, long nowNanos) {
        if (isAdvertised()) {
            // Whichever VM started first, the two did not start to count together: the peer may
            // have counted requests long before this VM learned of the limit.
            bucket.recordPeer(
                    new PeerBucketUsage(
                            vm,
                            incarnation,
                            usage.admitted(),
                            usage.offered(),
                            usage.level(),
                            false),
                    nowNanos);
        }
    }

    /**
     * Sets the fraction of the fleet's VMs that is reachable, and the propagation delay of usage.
     */
    public void setReachability(double reachableFraction, long propagationDelayNanos) {
        bucket.setReachableFraction(reachableFraction);
        bucket.setPropagationDelay(propagationDelayNanos);
    }

    /**
     * Usage of one VM since it first learned of the limit, in thousandths of a request. Immutable.
     *
     * @param admitted requests sent
     * @param offered requests that would have been sent without the limit
     * @param level level of the bucket as computed by the VM
     */
    public record Usage(long admitted, long offered, long level) {}
}
