package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.admission.AdmissionCapacity;
import org.bronzelug.core.admission.PoolAdmission;
import org.bronzelug.core.admission.WaitingEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.TrafficState;

/**
 * The requests of this VM that no endpoint accepts now, and that wait for one.
 *
 * <p>Requests wait in adaptive pools only, if their endpoints have engine limits or reject requests
 * when they are full. {@link PoolAdmission} decides which requests wait and in which order. They
 * are tried again when a request of their pool ends, when the endpoints or weights change, and
 * every {@link #CHECK_MILLIS}. A request that is tried passes through the same decisions as a new
 * one.
 *
 * <p>Invariants: a waiting request is at no endpoint; it may have been rejected by some. The
 * requests that wait are bounded in number and in bytes. Each leaves when it is sent, when its
 * caller leaves, when its time is over, or when it is rejected. Confined to the traffic thread,
 * except for the gauges.
 */
final class WaitingRequests {
    private static final int MAXIMUM_REQUESTS = 256;

    /** A thirtieth of the memory of the smallest VMs. */
    private static final long MAXIMUM_BYTES = 8L << 20;

    private static final long CHECK_MILLIS = 50;

    /** Least time between two rounds of tries; each try chooses among all endpoints. */
    private static final long ROUND_MILLIS = 5;

    /** Bounds the tries of a round that find no endpoint: most of them fail for one reason. */
    private static final int MAXIMUM_FAILED_TRIES = 8;

    /** The same for one team, so that its requests leave tries for those of others. */
    private static final int MAXIMUM_FAILED_TRIES_OF_TEAM = 2;

    private final EventLoop traffic;
    private final TrafficState state;
    private final RouterMetrics metrics;
    private final AdmissionCapacity capacity =
            new AdmissionCapacity(MAXIMUM_REQUESTS, MAXIMUM_BYTES);
    private final Map<String, PoolAdmission<RequestWait>> pools = new HashMap<>();
    private boolean checking;
    private boolean roundScheduled;
    private boolean stopped;
    private volatile int waitingCount;
    private volatile long oldestNanos;

    WaitingRequests(EventLoop traffic, TrafficState state, RouterMetrics metrics) {
        this.traffic = traffic;
        this.state = state;
        this.metrics = metrics;
        metrics.gauge("requests_waiting", () -> waitingCount);
        metrics.gauge("longest_wait_millis", this::longestWaitMillis);
    }

    private long longestWaitMillis() {
        long elapsed = System.nanoTime() - oldestNanos;
        return waitingCount == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(elapsed);
    }

    /** Returns whether requests of the pool may wait; otherwise they are rejected immediately. */
    boolean appliesTo(EndpointPool pool) {
        boolean adaptive = state.endpoints().adaptivePools().contains(pool.name());
        return adaptive
                && (pool.engine().isPresent()
                        || state.endpoints().adaptivePools().rejects(pool.name()));
    }

    /** Returns the decisions on a pool's requests. */
    PoolAdmission<RequestWait> admission(String pool) {
        return pools.computeIfAbsent(pool, name -> new PoolAdmission<>(capacity));
    }

    /**
     * Has a request wait.
     *
     * @return why it does not; empty if it waits
     */
    Optional<String> offer(String pool, WaitingEntry<RequestWait> entry, long nowNanos) {
        if (stopped) {
            return Optional.of(recordRefused("stopping"));
        }
        Optional<String> refusal = Optional.empty();
        for (PoolAdmission.Refusal<RequestWait> refused : admission(pool).offer(entry, nowNanos)) {
            if (refused.entry() == entry) {
                refusal = Optional.of(recordRefused(nameOf(refused.cause())));
            } else {
                refuse(refused.entry(), nameOf(refused.cause()));
            }
        }
        updateGauges();
        scheduleCheck();
        return refusal;
    }

    private static String nameOf(PoolAdmission.Cause cause) {
        return cause.name().toLowerCase(Locale.ROOT);
    }

    private String recordRefused(String cause) {
        metrics.count("requests_wait_refused_" + cause);
        return cause;
    }

    /**
     * Rejects a request that was removed from its queue; later, since the response may make the
     * caller's next request enter this class.
     */
    private void refuse(WaitingEntry<RequestWait> entry, String cause) {
        recordRefused(cause);
        traffic.execute(() -> entry.item().refuse(cause));
    }

    /** Removes a request whose exchange has ended. */
    void remove(String pool, WaitingEntry<RequestWait> entry) {
        admission(pool).remove(entry, System.nanoTime());
        updateGauges();
    }

    /** Tries the waiting requests soon, since an endpoint may accept one of them now. */
    void tryAgainSoon() {
        if (waitingCount > 0 && !roundScheduled) {
            roundScheduled = true;
            traffic.schedule(this::tryAll, ROUND_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void scheduleCheck() {
        if (waitingCount > 0 && !checking) {
            checking = true;
            traffic.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        checking = false;
        for (PoolAdmission<RequestWait> pool : pools.values()) {
            pool.removeTooLate(System.nanoTime())
                    .forEach(refused -> refuse(refused.entry(), nameOf(refused.cause())));
        }
        tryAll();
        scheduleCheck();
    }

    private void tryAll() {
        roundScheduled = false;
        List.copyOf(pools.values()).forEach(this::tryPool);
        updateGauges();
    }

    private void tryPool(PoolAdmission<RequestWait> pool) {
        Set<WaitingEntry<RequestWait>> tried = new HashSet<>();
        Map<String, Integer> failedOfTeam = new HashMap<>();
        int failed = 0;
        while (failed < MAXIMUM_FAILED_TRIES) {
            Optional<WaitingEntry<RequestWait>> next =
                    pool.next(
                            entry ->
                                    !tried.contains(entry)
                                            && failedOfTeam.getOrDefault(entry.team(), 0)
                                                    < MAXIMUM_FAILED_TRIES_OF_TEAM);
            if (next.isEmpty()) {
                return;
            }
            tried.add(next.get());
            if (next.get().item().tryAgain()) {
                pool.take(next.get(), System.nanoTime());
            } else {
                failed++;
                failedOfTeam.merge(next.get().team(), 1, Integer::sum);
            }
        }
    }

    private void updateGauges() {
        long oldest = Long.MAX_VALUE;
        for (PoolAdmission<RequestWait> pool : pools.values()) {
            for (WaitingEntry<RequestWait> entry : pool.entries()) {
                oldest = Math.min(oldest, entry.item().sinceNanos());
            }
        }
        oldestNanos = oldest;
        waitingCount = capacity.requests();
    }

    /**
     * Has no request wait for longer than a time, since the VM stops; those that do are rejected.
     */
    void stopAfter(long millis) {
        traffic.schedule(this::stop, Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    private void stop() {
        stopped = true;
        for (PoolAdmission<RequestWait> pool : pools.values()) {
            for (WaitingEntry<RequestWait> entry : pool.entries()) {
                pool.remove(entry, System.nanoTime());
                refuse(entry, "stopping");
            }
        }
        updateGauges();
    }
}
