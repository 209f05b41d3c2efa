package org.bronzelug.core.capacity;

/** The methods by which {@link ReplayedFleet} finds how many requests an endpoint handles well. */
sealed interface KneeCandidate {
    /** Records a response; the duration is corrected by the reported percentage of work. */
    void record(int running, double duration, long nowNanos);

    /** Returns the number of requests that the endpoint handles well; at least 1. */
    int slots();

    /** The number of slots that the endpoint states. */
    final class Stated implements KneeCandidate {
        @Override
        public void record(int running, double duration, long nowNanos) {
            // The stated number does not change.
        }

        @Override
        public int slots() {
            return ReplayedEndpoint.SLOTS;
        }
    }

    /** By the gradient of the duration. */
    final class LatencyGradient implements KneeCandidate {
        private final ConcurrencyKnee knee = new ConcurrencyKnee();

        @Override
        public void record(int running, double duration, long nowNanos) {
            knee.record(running, ReplayedEndpoint.SLOTS, duration, nowNanos);
        }

        @Override
        public int slots() {
            return knee.slots(ReplayedEndpoint.SLOTS);
        }
    }

    /** Additive increase after good responses, multiplicative decrease after a slow one. */
    final class AdditiveIncrease implements KneeCandidate {
        private static final double SLOW_MULTIPLE = 2;
        private static final double DECREASE = 0.6;
        private static final long DECREASE_NANOS = 200_000_000L;

        private final DecayedMean unloaded = new DecayedMean(10_000_000_000L, 100);
        private double limit = ReplayedEndpoint.SLOTS;
        private long decreasedNanos;

        @Override
        public void record(int running, double duration, long nowNanos) {
            if (running <= Math.max(1, limit / 2)) {
                unloaded.add(duration, nowNanos);
                return;
            }
            boolean known = unloaded.weight(nowNanos) > 0.5;
            if (!known || duration <= SLOW_MULTIPLE * unloaded.mean()) {
                limit = Math.min(ReplayedEndpoint.SLOTS, limit + 1 / limit);
            } else if (nowNanos - decreasedNanos > DECREASE_NANOS) {
                limit = Math.max(1, limit * DECREASE);
                decreasedNanos = nowNanos;
            }
        }

        @Override
        public int slots() {
            return (int) Math.round(limit);
        }
    }
}
