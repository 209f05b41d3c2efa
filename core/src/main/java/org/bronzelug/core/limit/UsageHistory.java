package org.bronzelug.core.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * The recent usage of a token bucket, from which its level is computed.
 *
 * <p>Amounts are summed in slots of 50 ms and kept for a fixed window, which covers the time over
 * which a rate is checked. No running balance is kept: {@link #level} recomputes the level from all
 * slots, so amounts may be added late and in any order.
 *
 * <p>Each slot records the fraction of the fleet that was reachable when its first amount was
 * added. Each unreachable VM is assumed to use as much as a reachable one, so an amount recorded
 * while half of the fleet is reachable counts twice.
 *
 * <p>Invariant: slots are ordered by time, with at most one slot per 50 ms, and {@link #level} uses
 * none that is older than the window. Not thread-safe: guarded by its owner. Times are the local
 * monotonic clock's nanoseconds.
 */
final class UsageHistory {
    private static final long SLOT_NANOS = 50_000_000L;

    /** Time that one part of an amount covers, which bounds the work for each report. */
    private static final long PART_NANOS = 250_000_000L;

    private static final int MAXIMUM_PARTS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final long windowSlots;
    private final List<Slot> slots = new ArrayList<>();

    UsageHistory(long windowNanos) {
        this.windowSlots = windowNanos / SLOT_NANOS;
    }

    /**
     * Adds an amount that was used at the given time, which may be before that of earlier calls.
     *
     * @param reachableFraction fraction of the fleet that is reachable, in (0, 1]
     */
    void add(double amount, double reachableFraction, long usedNanos) {
        if (amount == 0) {
            return;
        }
        long index = Math.floorDiv(usedNanos, SLOT_NANOS);
        Slot slot = slot(index, reachableFraction);
        slot.amount += amount;
        slot.latestNanos = Math.max(slot.latestNanos, usedNanos);
        expire(slots.getLast().index);
    }

    /**
     * Adds an amount in equal parts over the time in which it was used.
     *
     * <p>Without this, usage that a peer reports after 1.2 s counts as used at one moment. The
     * tokens that accrued before that moment are lost if the bucket was full, and the level stays
     * too low for as long as the team exceeds its rate (by 112,000 tokens at a rate of 500,000).
     *
     * @param reachableFraction fraction of the fleet that is reachable, in (0, 1]
     */
    void addSpread(double amount, double reachableFraction, long fromNanos, long toNanos) {
        long elapsedNanos = toNanos - fromNanos;
        int parts = (int) Math.clamp(elapsedNanos / PART_NANOS, 1, MAXIMUM_PARTS);
        for (int part = 0; part < parts; part++) {
            long usedNanos = fromNanos + (long) (elapsedNanos * ((part + 0.5) / parts));
            add(amount / parts, reachableFraction, usedNanos);
        }
    }

    /** Returns the slot with the given index, which is created if there is none. */
    private Slot slot(long index, double reachableFraction) {
        int position = slots.size();
        while (position > 0 && slots.get(position - 1).index > index) {
            position--;
        }
        if (position > 0 && slots.get(position - 1).index == index) {
            return slots.get(position - 1);
        }
        Slot newSlot = new Slot(index, reachableFraction);
        slots.add(position, newSlot);
        return newSlot;
    }

    void clear() {
        slots.clear();
    }

    /**
     * Raises the fraction of all slots to the given one, when more VMs become reachable and report
     * what they used before.
     */
    void raiseReachableFractions(double reachableFraction) {
        slots.forEach(
                slot ->
                        slot.reachableFraction =
                                Math.max(slot.reachableFraction, reachableFraction));
    }

    /**
     * Returns the level of a token bucket from which this usage was taken: the minimum, over all
     * periods that end now, of the bucket's size plus what accrued in the period minus what was
     * used in it.
     *
     * <p>Since the usage of each period is summed anew, reports that arrive late, in another order
     * or in larger steps lead to the same level.
     */
    double level(double rate, double size, long nowNanos) {
        expire(Math.floorDiv(nowNanos, SLOT_NANOS));
        double used = 0;
        double minimum = size;
        for (Slot slot : slots.reversed()) {
            used += slot.amount / slot.reachableFraction;
            long accruingNanos = Math.max(0, nowNanos - slot.latestNanos);
            minimum = Math.min(minimum, size + rate * accruingNanos / NANOS_PER_SECOND - used);
        }
        return minimum;
    }

    /** Returns the sum over the given last nanoseconds, rounded up to whole slots. */
    double sum(long nanos, long nowNanos) {
        long firstIndex = Math.floorDiv(nowNanos - nanos, SLOT_NANOS);
        return slots.stream()
                .filter(slot -> slot.index >= firstIndex)
                .mapToDouble(slot -> slot.amount)
                .sum();
    }

    private void expire(long newestIndex) {
        while (!slots.isEmpty() && slots.getFirst().index < newestIndex - windowSlots) {
            slots.removeFirst();
        }
    }

    private static final class Slot {
        private final long index;
        private double reachableFraction;
        private double amount;
        private long latestNanos;

        private Slot(long index, double reachableFraction) {
            this.index = index;
            this.latestNanos = index * SLOT_NANOS;
            this.reachableFraction = reachableFraction;
        }
    }
}
