package org.bronzelug.core.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * An endpoint of {@link ReplayedFleet}, advanced in steps of a millisecond. It serves up to {@code
 * slots} requests at once and rejects more.
 */
final class ReplayedEndpoint {
    static final int SLOTS = 6;
    static final double SLOWDOWN = 2.5;

    /** What is wrong with an endpoint. */
    enum Fault {
        NONE,
        /** Its throughput falls as soon as more than half of its slots are taken. */
        DEGRADES,
        /** It responds to a third of the requests with an error after 2 ms. */
        FAILS_FAST,
        /** Its header is always that of a slowed machine. */
        HEADER_LIES
    }

    /** A request that the endpoint serves. */
    static final class Job {
        final ReplayedFleet.Request request;
        final int sentMillis;
        final boolean fails;
        double remaining;

        Job(ReplayedFleet.Request request, int sentMillis, boolean fails, double work) {
            this.request = request;
            this.sentMillis = sentMillis;
            this.fails = fails;
            this.remaining = fails ? 2 : work;
        }
    }

    final double nominalSpeed;
    final Fault fault;
    final List<Job> running = new ArrayList<>();
    int slowUntilMillis;
    int lastCompletedMillis;
    int longestUnusedMillis;

    ReplayedEndpoint(double nominalSpeed, Fault fault) {
        this.nominalSpeed = nominalSpeed;
        this.fault = fault;
    }

    double speed(int nowMillis) {
        double speed = nowMillis < slowUntilMillis ? nominalSpeed / SLOWDOWN : nominalSpeed;
        double excess = running.size() / (SLOTS / 2.0);
        return fault == Fault.DEGRADES && excess > 1 ? speed / (excess * excess) : speed;
    }

    int workPercent(int nowMillis) {
        boolean slowed = nowMillis < slowUntilMillis || fault == Fault.HEADER_LIES;
        return slowed ? (int) (100 * SLOWDOWN) : 100;
    }

    /** Returns the requests that end in this millisecond. */
    List<Job> advance(int nowMillis) {
        double speed = speed(nowMillis);
        List<Job> ended = new ArrayList<>();
        for (Job job : running) {
            job.remaining -= job.fails ? 1 : speed;
            if (job.remaining <= 0) {
                ended.add(job);
            }
        }
        running.removeAll(ended);
        if (!ended.isEmpty()) {
            longestUnusedMillis = Math.max(longestUnusedMillis, nowMillis - lastCompletedMillis);
            lastCompletedMillis = nowMillis;
        }
        return ended;
    }
}
