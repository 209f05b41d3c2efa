package org.bronzelug.core.placement;

import java.util.OptionalLong;

/**
 * Turns prompts away that would wait for too long at the runner chosen for them.
 *
 * <p>The load it answers: a part of the runners is gone or loads weights, and prompts come faster
 * than the rest reads them. Let in, each waits a little longer than the one before, until all of
 * them are late; the reading never pauses, so streams under way get slow as well, and prefixes are
 * pushed out and read again. Turned away at once, a caller knows that nothing has run, and comes
 * back when the queue has gone.
 *
 * <p>Only less urgent prompts are turned away: they are the long ones, and the room that they leave
 * serves the urgent. The size of a prompt does not count, or the largest would never get in.
 *
 * <p>Stateless and thread-safe.
 */
public final class PromptAdmission {
    /**
     * The part of a prompt's goal that it may wait before it is read. Reading takes a quarter of
     * the goal; the rest is for what other VMs send meanwhile. Worth of the day in which a quarter
     * of the runners is gone, mean of two sites: 0.533 without a bound, 0.586 at 0.4, 0.582 at 0.6,
     * 0.575 at 0.9 (the users' bench without processor accounting, one run each).
     */
    private static final double WAIT_PART = 0.6;

    /**
     * The shortest time until a caller is asked to come back. A wave of load lasts seconds; callers
     * wait a third of their time at most.
     */
    private static final long FIRST_RETURN_MILLIS = 700;

    /** Returns are spread over this, so that those turned away together do not meet again. */
    private static final long SPREAD_MILLIS = 900;

    private static final double NANOS_PER_MILLI = 1e6;

    private PromptAdmission() {}

    /**
     * When a prompt that is turned away may come back; empty where it is let in.
     *
     * @param urgent whether its route is of the first rank
     * @param goalMillis within which its first token is worth most
     * @param queuedNanos that the runner needs for what waits there
     * @param draw uniform in [0, 1), to spread the returns
     */
    public static OptionalLong comeBackMillis(
            boolean urgent, long goalMillis, double queuedNanos, double draw) {
        double waitMillis = queuedNanos / NANOS_PER_MILLI;
        double borneMillis = WAIT_PART * goalMillis;
        if (urgent || waitMillis <= borneMillis) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(FIRST_RETURN_MILLIS + (long) (draw * SPREAD_MILLIS));
    }
}
