package org.bronzelug.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One team's token bucket, with reservations that are settled later at the amount actually used.
 *
 * <p>Invariant: for every interval of length t, the settled amounts of the reservations made in it
 * are at most {@code rate * t + burst}. A plain refund would break this: tokens reserved before the
 * bucket became full would be returned afterwards, on top of a full burst. Each open reservation
 * therefore records the minimum room in the bucket (burst minus tokens) since the reservation was
 * made, and at most that much is refunded. The bucket then holds what it would hold if the actual
 * amount had been taken at the time of the reservation.
 *
 * <p>Not thread-safe: guarded by its owner. Amounts are metered tokens, times the local monotonic
 * clock's nanoseconds.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Above rounding errors in sums of doubles; far below one token. */
    private static final double ROUNDING = 1e-6;

    private double rate;
    private double burst;
    private double tokens;
    private long lastNanos;
    private final Map<String, Reservation> open = new HashMap<>();

    /**
     * @param rate tokens per second
     * @param burst maximum level of the bucket
     * @param tokens initial level
     * @param nowNanos the time from which tokens accrue
     */
    public TokenBucket(double rate, double burst, double tokens, long nowNanos) {
        this.rate = rate;
        this.burst = burst;
        this.tokens = Math.min(tokens, burst);
        this.lastNanos = nowNanos;
    }

    /**
     * Reserves the whole amount or nothing. The id of an open reservation is granted again without
     * taking tokens.
     */
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

    /** Settles a reservation at the amount actually used; has no effect for an unknown id. */
    public void settle(String id, double used, long nowNanos) {
        accrue(nowNanos);
        Reservation reservation = open.remove(id);
        if (reservation == null) {
            return;
        }
        double unused = Math.max(0, reservation.amount - used);
        double refund = Math.min(unused, reservation.minimumRoom);
        tokens += refund;
        for (Reservation other : open.values()) {
            other.minimumRoom = Math.max(0, other.minimumRoom - refund);
        }
    }

    /** Changes the rate and burst; tokens above a smaller burst are discarded. */
    public void change(double newRate, double newBurst, long nowNanos) {
        accrue(nowNanos);
        double shrink = Math.max(0, burst - newBurst);
        rate = newRate;
        burst = newBurst;
        tokens = Math.min(tokens, burst);
        for (Reservation reservation : open.values()) {
            reservation.minimumRoom = Math.max(0, reservation.minimumRoom - shrink);
        }
    }

    /** Returns the time until the bucket holds the amount; negative if it never will. */
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
            reservation.minimumRoom = Math.min(reservation.minimumRoom, room);
        }
    }

    /** An amount taken but not yet settled, and the minimum room in the bucket since then. */
    private static final class Reservation {
        private final double amount;
        private double minimumRoom;

        private Reservation(double amount, double minimumRoom) {
            this.amount = amount;
            this.minimumRoom = minimumRoom;
        }
    }
}
