package org.bronzelug.core.placement;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The prefill work that all VMs send to the runners of one pool, by class of goals.
 *
 * <p>Each VM counts the tokens that it sends and reports the counters. The rate of the fleet is the
 * increase of all counters within the last {@link #WINDOW_NANOS}. An increase counts from the time
 * at which it became known, so a peer that is silent for longer than that counts no more.
 *
 * <p>Invariants: a counter only grows within an incarnation of its VM, so a lost or repeated report
 * changes no sum. The first report of an incarnation only sets where its counter starts, since it
 * is unknown when that work was sent. Not thread-safe: guarded by its owner.
 */
public final class PrefillWork {
    /**
     * Long enough that each VM of a large fleet reports within it, also if it is idle; a longer one
     * would follow a burst too late.
     */
    static final long WINDOW_NANOS = 2_000_000_000L;

    /** A peer that has been silent for this long is no longer expected to report. */
    static final long EXPIRY_NANOS = 10_000_000_000L;

    private static final int BUCKETS = 16;
    private static final long BUCKET_NANOS = WINDOW_NANOS / BUCKETS;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<GoalClass, Long> sent = new EnumMap<>(GoalClass.class);
    private final Map<GoalClass, long[]> buckets = new EnumMap<>(GoalClass.class);
    private final Map<String, Peer> peers = new HashMap<>();
    private long currentBucket;

    /** Creates counters without any work. */
    public PrefillWork(long nowNanos) {
        this.currentBucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
        for (GoalClass goalClass : GoalClass.values()) {
            sent.put(goalClass, 0L);
            buckets.put(goalClass, new long[BUCKETS]);
        }
    }

    /** Records that this VM sends a prompt of which the runner must prefill the given tokens. */
    public void recordSent(GoalClass goalClass, long tokens, long nowNanos) {
        sent.merge(goalClass, tokens, Long::sum);
        add(goalClass, tokens, nowNanos);
    }

    /** Records the counter that an incarnation of another VM has reported. */
    public void recordPeer(
            String vm, String incarnation, GoalClass goalClass, long counter, long nowNanos) {
        Peer peer = peers.get(vm);
        if (peer == null || !peer.incarnation.equals(incarnation)) {
            peer = new Peer(incarnation);
            peers.put(vm, peer);
        }
        peer.heardNanos = nowNanos;
        long known = peer.counters.getOrDefault(goalClass, counter);
        peer.counters.merge(goalClass, counter, Math::max);
        add(goalClass, Math.max(0, counter - known), nowNanos);
    }

    /** Returns the tokens that this VM has sent, to be reported to the other VMs. */
    public long sentTokens(GoalClass goalClass) {
        return sent.get(goalClass);
    }

    /** Returns the rate at which all VMs together send tokens to be prefilled. */
    public double tokensPerSecond(GoalClass goalClass, long nowNanos) {
        advance(nowNanos);
        long total = 0;
        for (long tokens : buckets.get(goalClass)) {
            total += tokens;
        }
        return total * NANOS_PER_SECOND / WINDOW_NANOS;
    }

    /**
     * Returns whether the sum contains the work of most VMs: at least half of the peers that were
     * heard within {@link #EXPIRY_NANOS} have reported within {@link #WINDOW_NANOS}. It does not
     * while no peer was heard: a VM that starts, or is cut off, would take the fleet's work for
     * next to nothing.
     */
    public boolean isKnown(long nowNanos) {
        peers.values().removeIf(peer -> nowNanos - peer.heardNanos > EXPIRY_NANOS);
        long reporting =
                peers.values().stream()
                        .filter(peer -> nowNanos - peer.heardNanos <= WINDOW_NANOS)
                        .count();
        return reporting > 0 && 2 * reporting >= peers.size();
    }

    private void add(GoalClass goalClass, long tokens, long nowNanos) {
        advance(nowNanos);
        buckets.get(goalClass)[Math.floorMod(currentBucket, BUCKETS)] += tokens;
    }

    private void advance(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
        for (int passed = 0; passed < BUCKETS && currentBucket < bucket; passed++) {
            currentBucket++;
            for (long[] tokens : buckets.values()) {
                tokens[Math.floorMod(currentBucket, BUCKETS)] = 0;
            }
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    /** The last report of another VM. */
    private static final class Peer {
        private final String incarnation;
        private final Map<GoalClass, Long> counters = new EnumMap<>(GoalClass.class);
        private long heardNanos;

        private Peer(String incarnation) {
            this.incarnation = incarnation;
        }
    }
}
