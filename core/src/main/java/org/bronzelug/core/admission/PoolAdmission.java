package org.bronzelug.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides which requests of one pool wait for an endpoint, in which order they are sent, when they
 * are rejected, and when the callers of rejected ones should return.
 *
 * <p>Invariant: a request waits only while it is expected to begin by its limit. Not thread-safe:
 * guarded by its owner.
 *
 * @param <T> type of the requests
 */
public final class PoolAdmission<T> {
    private final AdmissionQueue<T> queue;
    private final AdmissionEstimate estimate = new AdmissionEstimate();
    private final ReturnSchedule returns = new ReturnSchedule();

    /** Why a request is rejected instead of waiting. */
    public enum Cause {
        /** The queue is full, and the request's team has the most waiting work. */
        QUEUE_FULL,
        /** The request is not expected to begin by its limit. */
        TOO_LATE
    }

    /** A request that no longer waits, since it is to be rejected. */
    public record Refusal<T>(WaitingEntry<T> entry, Cause cause) {}

    public PoolAdmission(AdmissionCapacity capacity) {
        this.queue = new AdmissionQueue<>(capacity);
    }

    /**
     * Has a request wait, if it is expected to begin by its limit.
     *
     * @return the requests to reject; the offered one waits unless it is among them
     */
    public List<Refusal<T>> offer(WaitingEntry<T> entry, long nowNanos) {
        if (isTooLate(entry, nowNanos)) {
            return List.of(new Refusal<>(entry, Cause.TOO_LATE));
        }
        List<Refusal<T>> refused = new ArrayList<>();
        queue.offer(entry)
                .forEach(dropped -> refused.add(new Refusal<>(dropped, Cause.QUEUE_FULL)));
        updateBusy(nowNanos);
        return refused;
    }

    /** Removes and returns the requests that are no longer expected to begin by their limits. */
    public List<Refusal<T>> removeTooLate(long nowNanos) {
        List<Refusal<T>> refused = new ArrayList<>();
        // From the end of the queue: those that remain behind a removed one have less work ahead.
        List<WaitingEntry<T>> entries = queue.entries();
        for (int index = entries.size() - 1; index >= 0; index--) {
            WaitingEntry<T> entry = entries.get(index);
            if (isTooLate(entry, nowNanos)) {
                queue.remove(entry);
                refused.add(new Refusal<>(entry, Cause.TOO_LATE));
            }
        }
        updateBusy(nowNanos);
        return refused;
    }

    private boolean isTooLate(WaitingEntry<T> entry, long nowNanos) {
        long wait = waitNanos(queue.workThrough(entry), entry, nowNanos);
        long begin = Math.max(nowNanos + wait, entry.notBeforeNanos());
        return begin - entry.limitNanos() > 0;
    }

    private long waitNanos(long work, WaitingEntry<T> entry, long nowNanos) {
        return estimate.waitNanos(work, entry.work(), entry.urgency(), nowNanos);
    }

    /** Returns the next request to try, among the eligible ones; it goes on waiting. */
    public Optional<WaitingEntry<T>> next(Predicate<WaitingEntry<T>> eligible) {
        return queue.next(eligible);
    }

    /** Removes a request that is sent. */
    public void take(WaitingEntry<T> entry, long nowNanos) {
        queue.take(entry);
        updateBusy(nowNanos);
    }

    /** Removes a request that is no longer to be sent. */
    public boolean remove(WaitingEntry<T> entry, long nowNanos) {
        boolean removed = queue.remove(entry);
        updateBusy(nowNanos);
        return removed;
    }

    /** Records that an endpoint is sent a request, whether it has waited or not. */
    public void recordAccepted(int urgency, long work, long nowNanos) {
        estimate.recordAccepted(urgency, work, nowNanos);
    }

    private void updateBusy(long nowNanos) {
        estimate.setBusy(queue.size() > 0, nowNanos);
    }

    /**
     * Returns the delay after which the caller of a rejected request should return.
     *
     * @param entry the rejected request, which does not wait
     * @param remainingNanos time until its caller gives up
     */
    public long returnMillis(WaitingEntry<T> entry, long remainingNanos, long nowNanos) {
        long wait =
                Math.max(
                        entry.notBeforeNanos() - nowNanos,
                        waitNanos(queue.workThrough(entry) - entry.work(), entry, nowNanos));
        double rate = estimate.ratePerNano(entry.work(), entry.urgency(), nowNanos);
        return returns.reserveMillis(entry.work(), rate, wait, remainingNanos, nowNanos);
    }

    /** Returns whether a request of the team waits that is at least as urgent. */
    public boolean hasWaiting(String team, int urgency) {
        return queue.hasWaiting(team, urgency);
    }

    public List<WaitingEntry<T>> entries() {
        return queue.entries();
    }

    public int size() {
        return queue.size();
    }
}
