package org.bronzelug.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * Bounds the requests of one VM that an endpoint may have to reject, where the endpoint fails if it
 * has to reject more than a number of requests in a second, from all VMs together.
 *
 * <p>The VMs share half of that number without a message: in each window of a second each VM draws
 * whether, and how often, it may be rejected. Half, since the windows of the VMs are not aligned
 * with those of the endpoint. They share less if the sum of their draws would often exceed the
 * number by chance, as it does for small numbers and many VMs. A request that may be rejected takes
 * one part of the allowance, and returns it if no rejection has arrived for {@link
 * #ACCEPTED_NANOS}.
 *
 * <p>Invariant: requests that wait for their acceptance, and rejections within the window, together
 * do not exceed the allowance, except for rejections of requests that were expected to be accepted.
 * Times are nanoseconds of the local monotonic clock. Not thread-safe.
 */
public final class RejectionAllowance {
    static final long WINDOW_NANOS = 1_000_000_000L;

    /** An endpoint rejects a request within two link delays and its own processing time. */
    static final long ACCEPTED_NANOS = 100_000_000L;

    /** Fraction of the endpoint's number that the VMs may use within their windows. */
    private static final double USABLE_FRACTION = 0.5;

    /** Least distance of the mean of all draws from the endpoint's number, in deviations. */
    private static final double DEVIATIONS = 3;

    /** Factor of each step that reduces the shared number. */
    private static final double REDUCTION = 0.95;

    private final RandomGenerator random;
    private final Deque<Long> pending = new ArrayDeque<>();
    private long windowStartNanos;
    private boolean windowOpen;
    private int allowance;
    private int rejections;

    public RejectionAllowance(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Takes a part of the allowance for a request that the endpoint may reject.
     *
     * @param rejectionsPerSecond rejections in a second that the endpoint tolerates from all VMs
     * @param vms number of VMs that share it
     * @return whether the request may be sent
     */
    public boolean tryTake(double rejectionsPerSecond, int vms, long nowNanos) {
        renewWindow(rejectionsPerSecond, vms, nowNanos);
        while (!pending.isEmpty() && nowNanos - pending.peekFirst() >= ACCEPTED_NANOS) {
            pending.pollFirst();
        }
        if (pending.size() + rejections >= allowance) {
            return false;
        }
        pending.addLast(nowNanos);
        return true;
    }

    private void renewWindow(double rejectionsPerSecond, int vms, long nowNanos) {
        if (windowOpen && nowNanos - windowStartNanos < WINDOW_NANOS) {
            return;
        }
        windowOpen = true;
        windowStartNanos = nowNanos;
        rejections = 0;
        double part = sharedRejections(rejectionsPerSecond, vms) / Math.max(1, vms);
        double whole = Math.floor(part);
        int drawn = random.nextDouble() < part - whole ? 1 : 0;
        allowance = (int) Math.min(Integer.MAX_VALUE - 1, whole) + drawn;
    }

    /** Returns the rejections that all VMs together draw in a second on average. */
    private static double sharedRejections(double rejectionsPerSecond, int vms) {
        double shared = rejectionsPerSecond * USABLE_FRACTION;
        while (shared + DEVIATIONS * deviation(shared, vms) > rejectionsPerSecond) {
            shared *= REDUCTION;
        }
        return shared;
    }

    /** Returns the standard deviation of the sum of all VMs' draws. */
    private static double deviation(double shared, int vms) {
        double part = shared / Math.max(1, vms);
        double chance = part - Math.floor(part);
        return Math.sqrt(vms * chance * (1 - chance));
    }

    /** Records that the endpoint has rejected a request of this VM. */
    public void recordRejection(long nowNanos) {
        pending.pollFirst();
        if (windowOpen && nowNanos - windowStartNanos < WINDOW_NANOS) {
            rejections++;
        }
    }

    /** Returns the time until the next window, in which the VM draws again. */
    public long nanosUntilNextWindow(long nowNanos) {
        return windowOpen ? Math.max(0, WINDOW_NANOS - (nowNanos - windowStartNanos)) : 0;
    }
}
