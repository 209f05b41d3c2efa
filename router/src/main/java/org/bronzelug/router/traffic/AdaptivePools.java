package org.bronzelug.router.traffic;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The pools whose endpoints report how long work takes on their machines. Placement, waiting and
 * the pace of weight rollouts adapt to the measured load in these pools only; all other pools are
 * served with fixed parameters.
 *
 * <p>Invariant: a pool stays adaptive while it has endpoints. Confined to the traffic thread.
 */
public final class AdaptivePools {
    private final Set<String> pools = new HashSet<>();

    /** Records that an endpoint of the pool has reported how long work takes. */
    void record(String pool) {
        pools.add(pool);
    }

    void retain(Collection<String> poolsWithEndpoints) {
        pools.retainAll(poolsWithEndpoints);
    }

    public boolean contains(String pool) {
        return pools.contains(pool);
    }

    public Set<String> names() {
        return Set.copyOf(pools);
    }
}
