package org.bronzelug.core.capacity;

import java.util.Optional;

/**
 * Estimates the speed of one endpoint relative to its pool: 1 is the speed of the pool, and an
 * endpoint of speed 0.5 takes twice as long for the same work.
 *
 * <p>The estimate is the geometric mean of this VM's samples and the other VMs' reports, weighted
 * by age, and of a prior of 1, to which it returns without fresh samples. The work percentage that
 * the endpoint reports about its machine is faster than any sample: it divides the estimate while
 * it is fresh. Samples are corrected by it, so that a slowdown is not counted twice.
 *
 * <p>A sample is a range: the work that the endpoint has done is known only within bounds if its
 * cache may have held part of a prompt, and the reported percentage may have changed during the
 * work. The value of the range that is nearest to the present estimate is taken, so that an unknown
 * cache hit does not make the endpoint appear fast.
 *
 * <p>Measured times take precedence over the reported percentage: it is ignored if the samples show
 * that the estimate is better without it. A percentage that is wrong by a constant factor, or that
 * changes without effect, therefore does limited harm.
 *
 * <p>Invariant: the estimate is between {@link #MINIMUM} and {@link #MAXIMUM}. An instance belongs
 * to one start of an endpoint. Not thread-safe: guarded by its owner.
 */
public final class EndpointSpeed {
    public static final double MINIMUM = 0.1;
    public static final double MAXIMUM = 10;

    static final long HALF_LIFE_NANOS = 1_000_000_000L;

    /** Weight of the pool's speed relative to a fresh sample. */
    private static final double PRIOR_WEIGHT = 0.5;

    /** Bounds the time until the estimate returns to that of the pool to a few half-lives. */
    private static final double MAXIMUM_WEIGHT = 8;

    private static final long WORK_FRESH_NANOS = 600_000_000L;
    private static final long WORK_HALF_LIFE_NANOS = 200_000_000L;

    /** Evidence against the reported percentage is kept for longer than any single slowdown. */
    private static final long DOUBT_HALF_LIFE_NANOS = 10_000_000_000L;

    /**
     * Doubt, as a sum of logarithms, above which the reported percentage is ignored: two samples at
     * the begin of a slowdown by 2.5, when the percentage is ahead of the times, are below it.
     */
    private static final double MAXIMUM_DOUBT = 2;

    /** Bounds the number of samples after which a percentage that becomes wrong is ignored. */
    private static final double DOUBT_BOUND = 4;

    /** Own samples older than this are not reported to peers. */
    private static final long REPORT_NANOS = 2_000_000_000L;

    private static final double PERCENT = 100;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final DecayedMean own = new DecayedMean(HALF_LIFE_NANOS, MAXIMUM_WEIGHT);
    private SpeedReports peers = SpeedReports.NONE;
    private long peersNanos;
    private boolean sampled;
    private long sampledNanos;
    private double workFactor = 1;
    private double previousWorkFactor = 1;
    private long workNanos;
    private double doubt;
    private long doubtNanos;

    /**
     * The speed that this VM has measured, for its peers. Immutable.
     *
     * @param percent the speed in percent of the pool's
     * @param ageMillis age of the newest sample
     */
    public record Report(int percent, int ageMillis) {}

    /**
     * Records how long work takes on the endpoint's machine, as a response reports it.
     *
     * @param percent duration in percent of the usual one; at least 1
     */
    public void recordWork(int percent, long nowNanos) {
        previousWorkFactor = currentWorkFactor(nowNanos);
        workFactor = bounded(PERCENT / percent);
        workNanos = nowNanos;
    }

    /**
     * Records a successful response. Failed attempts, errors and rejections are not samples.
     *
     * @param lowest the endpoint's speed if it did the least work that the request may have taken
     * @param highest the speed if it did the most
     */
    public void recordSample(double lowest, double highest, long nowNanos) {
        double low = Math.log(bounded(lowest));
        double high = Math.max(low, Math.log(bounded(highest)));
        double estimate = usualLogarithm(nowNanos);
        double work = Math.log(currentWorkFactor(nowNanos));
        double previousWork = Math.log(previousWorkFactor);
        boolean trusted = isWorkTrusted(nowNanos);
        double lowUsual = trusted ? low - Math.max(work, previousWork) : low;
        double highUsual = trusted ? high - Math.min(work, previousWork) : high;
        own.add(Math.clamp(estimate, lowUsual, highUsual), nowNanos);
        double withWork = distance(estimate + work, low, high);
        doubt(withWork - distance(estimate, low, high), nowNanos);
        sampled = true;
        sampledNanos = nowNanos;
    }

    /** Replaces the speeds that the other VMs have reported. */
    public void setPeers(SpeedReports reports, long nowNanos) {
        peers = reports;
        peersNanos = nowNanos;
    }

    /** Returns the estimated speed at this moment. */
    public double speed(long nowNanos) {
        double factor = isWorkTrusted(nowNanos) ? currentWorkFactor(nowNanos) : 1;
        return bounded(Math.exp(usualLogarithm(nowNanos)) * factor);
    }

    /** Returns the speed measured by this VM; empty if it has no recent sample. */
    public Optional<Report> report(long nowNanos) {
        if (!sampled || nowNanos - sampledNanos > REPORT_NANOS) {
            return Optional.empty();
        }
        int percent = (int) Math.round(PERCENT * bounded(Math.exp(own.mean())));
        return Optional.of(
                new Report(percent, (int) ((nowNanos - sampledNanos) / NANOS_PER_MILLI)));
    }

    /** Returns whether neither this VM nor a peer has a sample that is at most this old. */
    public boolean isUnmeasured(long ageNanos, long nowNanos) {
        boolean byPeers = peers.weight() > 0 && nowNanos - peers.newestNanos() <= ageNanos;
        boolean byOwn = sampled && nowNanos - sampledNanos <= ageNanos;
        return !byPeers && !byOwn;
    }

    /** Returns the logarithm of the estimate at the machine's usual speed. */
    private double usualLogarithm(long nowNanos) {
        double ownWeight = own.weight(nowNanos);
        double decay = DecayedMean.decay(nowNanos - peersNanos, HALF_LIFE_NANOS);
        double sum = ownWeight * own.mean() + decay * peers.logarithmSum();
        return sum / (ownWeight + decay * peers.weight() + PRIOR_WEIGHT);
    }

    /** Returns the reported effect on the speed, which decays once the report is not fresh. */
    private double currentWorkFactor(long nowNanos) {
        double staleNanos = nowNanos - workNanos - WORK_FRESH_NANOS;
        return Math.pow(workFactor, DecayedMean.decay(staleNanos, WORK_HALF_LIFE_NANOS));
    }

    /** Adds the error of the estimate with the reported percentage, less that without it. */
    private void doubt(double excess, long nowNanos) {
        doubt = Math.clamp(currentDoubt(nowNanos) + excess, -DOUBT_BOUND, DOUBT_BOUND);
        doubtNanos = nowNanos;
    }

    private double currentDoubt(long nowNanos) {
        return doubt * DecayedMean.decay(nowNanos - doubtNanos, DOUBT_HALF_LIFE_NANOS);
    }

    private boolean isWorkTrusted(long nowNanos) {
        return currentDoubt(nowNanos) <= MAXIMUM_DOUBT;
    }

    private static double distance(double value, double low, double high) {
        return Math.max(0, Math.max(low - value, value - high));
    }

    static double bounded(double speed) {
        return Math.clamp(speed, MINIMUM, MAXIMUM);
    }
}
