package org.bronzelug.core.admission;

/**
 * Decides whether a prompt may be sent to a runner with a queue, by the prompt's urgency and by its
 * team's use of the fleet.
 *
 * <p>All prompts are sent while the queue is short, so that no team is held back while there is
 * capacity. Teams within their fair share request less together than is accepted, so their prompts
 * are sent unless the queue is far too long. The prompts of the other teams share what is left: as
 * many are sent as keep the queue at about {@link #QUEUE_FRACTION} of the goal.
 *
 * <p>Stateless and thread-safe.
 */
public final class OverloadAdmission {
    /**
     * Queue that is aimed at, as a fraction of the goal. The rest is for the prompt's own prefill
     * and for prompts that other VMs send at the same time.
     */
    private static final double QUEUE_FRACTION = 0.3;

    /** Queue at which a runner may soon be idle. */
    private static final double SHORT_QUEUE_FRACTION = 0.05;

    /**
     * Longest queue for teams beyond their share. With the whole goal, runners that are slowed down
     * had queues of several times the goal, and teams within their share lost more prompts.
     */
    private static final double LONG_QUEUE_FRACTION = 0.6;

    /** The same for urgent prompts, whose goals are short; prompts behind it are late. */
    private static final double URGENT_QUEUE_FRACTION = 1;

    /** Longest queue for teams within their share. */
    private static final double LONGEST_QUEUE_FRACTION = 2;

    /** Time after which VMs know of each other's requests. */
    private static final double REPORT_MILLIS = 500;

    private static final double NANOS_PER_MILLI = 1e6;

    private OverloadAdmission() {}

    /**
     * Returns the queue that may be added, as {@link FairShares#admittedFraction} takes it.
     *
     * @param goalMillis target time to the first token
     * @param queuedNanos estimated queue delay at the best runner
     */
    public static double spare(long goalMillis, double queuedNanos) {
        return (QUEUE_FRACTION * goalMillis - queuedNanos / NANOS_PER_MILLI) / REPORT_MILLIS;
    }

    /**
     * Returns the longest queue that a prompt may meet.
     *
     * @param urgent whether the prompt's route has the highest priority
     * @param beyondShare whether the prompt's team is beyond its fair share
     * @param credit whether the team may be sent now nevertheless
     * @return the queue delay in nanoseconds
     */
    public static double longestNanos(
            boolean urgent, boolean beyondShare, boolean credit, long goalMillis) {
        return fraction(urgent, beyondShare, credit) * goalMillis * NANOS_PER_MILLI;
    }

    private static double fraction(boolean urgent, boolean beyondShare, boolean credit) {
        if (urgent) {
            return beyondShare ? URGENT_QUEUE_FRACTION : Double.POSITIVE_INFINITY;
        }
        if (!beyondShare) {
            return LONGEST_QUEUE_FRACTION;
        }
        return credit ? LONG_QUEUE_FRACTION : SHORT_QUEUE_FRACTION;
    }
}
