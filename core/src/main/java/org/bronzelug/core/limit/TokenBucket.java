package org.bronzelug.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One team's token bucket, with reservations that are settled later at the real count.
 *
 * <p>Invariant: for every interval of length t, the settled amounts of the reservations made in it
 * are at most {@code rate * t + burst}. A plain refund breaks this: tokens reserved before the
 * bucket was full would come back after it, on top of a full burst. So each open reservation keeps
 * the least room that the bucket had since it was made, and only that much is refunded: just what
 * the bucket would hold, had the real amount been taken from the start.
 *
 * <p>Not thread-safe: guarded by its owner. Amounts are metered tokens, times the local monotonic
 * clock's nanoseconds.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Above rounding in sums of doubles; far below one token. */
    private static final double ROUNDING = 1e-6;

    private double rate;
    private double burst;
    private double tokens;
    private long lastNanos;
    private final Map<String, Reservation> open = new HashMap<>();

    /**
     * @param rate tokens per second
     * @param burst the most that the bucket holds
     * @param tokens what it holds at first
     * @param nowNanos the time it starts
     */
    public TokenBucket(double rate, double burst, double tokens, long nowNanos) {
        this.rate = rate;
        this.burst = burst;
        this.tokens = Math.min(tokens, burst);
        this.lastNanos = nowNanos;
    }

    /** Takes the whole amount or nothing; a repeated id changes nothing and is granted again. */
    public boolean reserve(String id, double amount, long nowNanos) {
        if (open.containsKey(id)) {
            return true;
        }
        accrue(nowNanos);
        if (tokens + ROUNDING < amount) {
            return false;
        }
        tokens -= amount;
        open.put(id, new Reservation(amount, burst - tokens));
        return true;
    }

    /** Ends a reservation at the amount really used; an unknown id changes nothing. */
    public void settle(String id, double used, long nowNanos) {
        accrue(nowNanos);
        Reservation reservation = open.remove(id);
        if (reservation == null) {
            return;
        }
        double unused = Math.max(0, reservation.amount - used);
        double refund = Math.min(unused, reservation.leastRoom);
        tokens += refund;
        for (Reservation other : open.values()) {
            other.leastRoom = Math.max(0, other.leastRoom - refund);
        }
    }

    /** Changes the rate and burst from now on; what exceeds a smaller burst is gone. */
    public void change(double newRate, double newBurst, long nowNanos) {
        accrue(nowNanos);
        double shrink = Math.max(0, burst - newBurst);
        rate = newRate;
        burst = newBurst;
        tokens = Math.min(tokens, burst);
        for (Reservation reservation : open.values()) {
            reservation.leastRoom = Math.max(0, reservation.leastRoom - shrink);
        }
    }

    /** How long until the amount is there, if nobody else takes; negative: never. */
    public long nanosUntil(double amount, long nowNanos) {
        accrue(nowNanos);
        if (amount > burst || rate <= 0) {
            return amount <= tokens ? 0 : -1;
        }
        return (long) (Math.max(0, amount - tokens) / rate * NANOS_PER_SECOND);
    }

    public double tokens(long nowNanos) {
        accrue(nowNanos);
        return tokens;
    }

    private void accrue(long nowNanos) {
        long elapsed = nowNanos - lastNanos;
        if (elapsed <= 0) {
            return;
        }
        lastNanos = nowNanos;
        tokens = Math.min(burst, tokens + elapsed / NANOS_PER_SECOND * rate);
        double room = burst - tokens;
        for (Reservation reservation : open.values()) {
            reservation.leastRoom = Math.min(reservation.leastRoom, room);
        }
    }

    /** An amount taken but not yet settled, and the least room in the bucket since. */
    private static final class Reservation {
        private final double amount;
        private double leastRoom;

        private Reservation(double amount, double leastRoom) {
            this.amount = amount;
            this.leastRoom = leastRoom;
        }
    }
}
