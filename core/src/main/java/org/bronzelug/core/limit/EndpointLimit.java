package org.bronzelug.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One VM's view of the limit that one start of an endpoint has named on the requests of all VMs.
 *
 * <p>Answers an overloaded endpoint: it gets what it named, and the rest goes elsewhere. All VMs
 * draw on one {@link FleetBucket} without asking each other. The limit lasts until a later answer,
 * to any VM, names another one or none; silence does not end it, since where nothing is sent
 * nothing is answered.
 *
 * <p>Invariant: of the observations of all VMs the latest holds. Not thread-safe: guarded by its
 * owner. Times are the local monotonic clock's nanoseconds.
 */
public final class EndpointLimit {
    /** The bucket counts whole amounts; the limit of an endpoint is a few requests. */
    private static final long REQUEST = 1_000;

    /**
     * Least requests a second. An endpoint that takes nothing is sent a request now and then, or
     * its limit would never be seen to end.
     */
    private static final double LEAST_RATE = 0.1;

    /** Requests that may follow each other at once, besides those of one second. */
    private static final double LEAST_BURST = 1;

    /** Sizes of the latest requests by which the larger ones are told. */
    private static final int MAXIMUM_SIZES = 64;

    /** A bucket that is fuller than this is about to lose what accrues. */
    private static final double UNUSED_PART = 0.9;

    private static final AdvertisedLimit NONE = new AdvertisedLimit.None();

    private final FleetBucket bucket;
    private final Deque<Long> sizes = new ArrayDeque<>();
    private AdvertisedLimit limit = NONE;
    private long observedNanos;
    private long reportedAdmitted;

    public EndpointLimit(long nowNanos) {
        this.observedNanos = nowNanos;
        this.bucket = new FleetBucket(LEAST_RATE * REQUEST, LEAST_BURST * REQUEST, 0, nowNanos);
    }

    /**
     * Takes in what an answer named, to this VM or to a peer.
     *
     * @param seenNanos when the answer came
     * @return whether the limit is another one now
     */
    public boolean observe(AdvertisedLimit named, long seenNanos, long nowNanos) {
        if (seenNanos < observedNanos || named instanceof AdvertisedLimit.Malformed) {
            return false;
        }
        observedNanos = seenNanos;
        if (named.equals(limit)) {
            return false;
        }
        if (named instanceof AdvertisedLimit.Rate rate) {
            begin(rate.requestsPerSecond(), nowNanos);
        }
        limit = named;
        return true;
    }

    /**
     * A limit that is named anew begins with an empty bucket, since the endpoint has work enough.
     * One that changes keeps what is left, and one that falls a debt of as many seconds as before.
     */
    private void begin(double requestsPerSecond, long nowNanos) {
        double rate = Math.max(LEAST_RATE, requestsPerSecond) * REQUEST;
        double level = isNamed() ? bucket.level(nowNanos) * Math.min(1, rate / bucket.rate()) : 0;
        bucket.restart(rate, LEAST_BURST * REQUEST + rate, level, nowNanos);
    }

    public boolean isNamed() {
        return limit instanceof AdvertisedLimit.Rate;
    }

    public AdvertisedLimit limit() {
        return limit;
    }

    /** When the answer came that named the limit, or none. */
    public long observedNanos() {
        return observedNanos;
    }

    /**
     * Takes one request out of what the endpoint takes; always possible without a limit.
     *
     * <p>The limit counts requests of any size, so where smaller ones can go elsewhere the larger
     * ones are let in: as many as the endpoint takes of those that would go there.
     *
     * @param size of the request, in any unit that the requests of the endpoint share
     * @param elsewhere whether an endpoint without a limit can take it
     * @param draw uniform in [0, 1)
     */
    public boolean tryAcquire(long size, boolean elsewhere, double draw, long nowNanos) {
        if (!isNamed()) {
            return true;
        }
        sizes.addLast(size);
        if (sizes.size() > MAXIMUM_SIZES) {
            sizes.removeFirst();
        }
        if (elsewhere && size < leastSize(nowNanos)) {
            bucket.offer(REQUEST, nowNanos);
            return false;
        }
        return bucket.tryAcquire(REQUEST, draw, nowNanos);
    }

    /** The size from which requests are let in; 0 while the endpoint takes more than it is sent. */
    private long leastSize(long nowNanos) {
        double demand = bucket.demandRate(nowNanos);
        boolean unused = bucket.level(nowNanos) > UNUSED_PART * bucket.burst();
        if (unused || demand <= bucket.rate()) {
            return 0;
        }
        long[] sorted = sizes.stream().mapToLong(Long::longValue).sorted().toArray();
        return sorted[(int) ((1 - bucket.rate() / demand) * (sorted.length - 1))];
    }

    /** A request that was taken did not reach the endpoint. */
    public void refund(long nowNanos) {
        if (isNamed()) {
            bucket.refund(REQUEST, nowNanos);
        }
    }

    /**
     * How long until the endpoint takes one more request.
     *
     * @param draw uniform in [0, 1), so that callers come back apart
     */
    public long nanosUntil(double draw, long nowNanos) {
        return isNamed() ? bucket.nanosUntil(REQUEST, draw, nowNanos) : 0;
    }

    /** Requests that could be sent at once, less than 0 where too many were. */
    public double level(long nowNanos) {
        return bucket.level(nowNanos) / REQUEST;
    }

    /** What this VM tells its peers of its requests. */
    public Count count(long nowNanos) {
        return new Count(bucket.admitted(), bucket.offered(), (long) bucket.level(nowNanos));
    }

    /** Whether this VM has sent requests since this was asked last. */
    public boolean hasUsageChanged() {
        long before = reportedAdmitted;
        reportedAdmitted = bucket.admitted();
        return before != reportedAdmitted;
    }

    /** Takes in what a peer tells of its requests. */
    public void recordPeer(String vm, String incarnation, Count count, long nowNanos) {
        if (isNamed()) {
            // A peer may have counted long before this VM heard of the limit, however long it runs.
            bucket.recordPeer(
                    new PeerBucketUsage(
                            vm,
                            incarnation,
                            count.admitted(),
                            count.offered(),
                            count.level(),
                            false),
                    nowNanos);
        }
    }

    /** The part of the fleet's VMs that is heard, and how long a count travels. */
    public void setFleet(double reachableFraction, long propagationDelayNanos) {
        bucket.setReachableFraction(reachableFraction);
        bucket.setPropagationDelay(propagationDelayNanos);
    }

    /**
     * Requests of one VM since it first heard of the limit, in thousandths. Immutable.
     *
     * @param admitted sent
     * @param offered that would have been sent without the limit
     * @param level what is left, as the VM reckons
     */
    public record Count(long admitted, long offered, long level) {}
}
