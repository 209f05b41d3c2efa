package org.bronzelug.router.traffic;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The pools in which decisions adapt to the measured load: those whose endpoints report how long
 * work takes on their machines, or all pools if the installation states memory pressure. All other
 * pools are served with fixed parameters.
 *
 * <p>Invariant: a pool stays adaptive while it has endpoints. Confined to the traffic thread.
 */
public final class AdaptivePools {
    private final boolean all;
    private final Set<String> pools = new HashSet<>();
    private final Set<String> rejecting = new HashSet<>();

    /**
     * @param all whether all pools are adaptive
     */
    AdaptivePools(boolean all) {
        this.all = all;
    }

    /** Records that an endpoint of the pool has reported how long work takes. */
    void record(String pool) {
        pools.add(pool);
    }

    /** Records that an endpoint of the pool has rejected a request, as full ones do. */
    void recordRejection(String pool) {
        rejecting.add(pool);
    }

    /** Returns whether endpoints of the pool have rejected requests instead of queueing them. */
    public boolean rejects(String pool) {
        return rejecting.contains(pool);
    }

    void retain(Collection<String> poolsWithEndpoints) {
        pools.retainAll(poolsWithEndpoints);
        rejecting.retainAll(poolsWithEndpoints);
    }

    public boolean contains(String pool) {
        return all || pools.contains(pool);
    }

    /** Returns whether endpoints of the pool report how long work takes on their machines. */
    public boolean reportsWork(String pool) {
        return pools.contains(pool);
    }

    /** Returns whether any pool is adaptive. */
    public boolean isAny() {
        return all || !pools.isEmpty();
    }

    /** Returns the names of the pools whose endpoints report how long work takes. */
    public Set<String> names() {
        return Set.copyOf(pools);
    }
}
