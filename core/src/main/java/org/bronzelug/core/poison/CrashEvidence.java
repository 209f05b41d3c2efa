package org.bronzelug.core.poison;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The evidence that one part is the cause of the crashes at which it was: how unlikely it is that
 * as many crashes met it by chance.
 *
 * <p>Crashes at which the part was not tell how often endpoints crash without it. The more often
 * they do, the more crashes are required. Immutable.
 *
 * @param crashes the crashes at which the part was
 * @param strength the negative logarithm of the likelihood that they met it by chance
 */
record CrashEvidence(List<EndpointCrash> crashes, double strength) {
    /** Maximum probability of quarantining a part that is not the cause. */
    private static final double ERROR_PROBABILITY = 1e-7;

    /** Crashes that are required even if crashes are rare. */
    static final int MINIMUM_CRASHES = 3;

    private static final double REQUIRED_STRENGTH = -Math.log(ERROR_PROBABILITY);

    /**
     * Lowest rate of crashes per endpoint and second that is assumed; three crashes suffice at it.
     */
    private static final double MINIMUM_RATE =
            -Math.log(1 - Math.exp(-REQUIRED_STRENGTH / MINIMUM_CRASHES))
                    / Involvement.BEGUN_SECONDS;

    /** Endpoints that go down with their host or network go down within this time. */
    static final long SIMULTANEOUS_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Time over which crashes without the part are counted. */
    private static final long RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final double MINIMUM_WINDOW_SECONDS = 5;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING = 1e-6;

    /**
     * Returns the evidence against a part.
     *
     * @param ordered the crashes that have no known cause, in the order of their times
     * @param candidates the parts that may be causes; crashes under another one of them don't count
     *     as crashes without a cause
     * @param endpoints the number of endpoints of the part's pool
     */
    static CrashEvidence of(
            PartKey part,
            List<EndpointCrash> ordered,
            Set<PartKey> candidates,
            int endpoints,
            long nowNanos) {
        List<EndpointCrash> with =
                ordered.stream().filter(crash -> crash.suspects().containsKey(part)).toList();
        List<EndpointCrash> without =
                ordered.stream()
                        .filter(crash -> !crash.suspects().containsKey(part))
                        .filter(crash -> crash.pool().equals(part.pool()))
                        .filter(crash -> nowNanos - crash.atNanos() < RATE_WINDOW_NANOS)
                        .filter(crash -> Collections.disjoint(candidates, crash.begunParts()))
                        .toList();
        double rate = Math.max(MINIMUM_RATE, rate(without, endpoints, nowNanos));
        return new CrashEvidence(with, strength(part, with, rate));
    }

    private static double rate(List<EndpointCrash> without, int endpoints, long nowNanos) {
        if (without.isEmpty()) {
            return 0;
        }
        double seconds = (nowNanos - without.get(0).atNanos()) / NANOS_PER_SECOND;
        return without.size() / Math.max(MINIMUM_WINDOW_SECONDS, seconds) / Math.max(1, endpoints);
    }

    /** Adds up the crashes; those at about the same time count once, for the strongest one. */
    private static double strength(PartKey part, List<EndpointCrash> with, double rate) {
        double total = 0;
        double strongest = 0;
        long startNanos = 0;
        for (int index = 0; index < with.size(); index++) {
            EndpointCrash crash = with.get(index);
            if (index == 0 || crash.atNanos() - startNanos > SIMULTANEOUS_NANOS) {
                total += strongest;
                strongest = 0;
                startNanos = crash.atNanos();
            }
            strongest = Math.max(strongest, strength(crash.suspects().get(part), rate));
        }
        return total + strongest;
    }

    private static double strength(Involvement involvement, double rate) {
        return switch (involvement) {
            case BEGUN -> -Math.log(1 - Math.exp(-rate * Involvement.BEGUN_SECONDS));
            case WAITING -> -Math.log(1 - Math.exp(-rate * Involvement.WAITING_SECONDS));
            case RESPONDING -> 0;
        };
    }

    boolean isSufficient() {
        return strength > REQUIRED_STRENGTH - ROUNDING;
    }
}
