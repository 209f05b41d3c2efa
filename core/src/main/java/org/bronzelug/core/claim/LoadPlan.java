package org.bronzelug.core.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Chooses the runners that load new weights next.
 *
 * <p>The number of simultaneous loads is limited, since beyond some number, which depends on the
 * site, each load gets slower (2 at the association's site, 3 at Tapløn's).
 *
 * <p>Stateless and thread-safe.
 */
public final class LoadPlan {
    private LoadPlan() {}

    /**
     * Returns the runners to order now.
     *
     * @param outdated runners without the target version of the weights
     * @param loading runners that are loading, either ordered by this VM or according to their own
     *     reports, so that loads ordered by a previous holder of the claim count as well
     * @param concurrentLoads maximum number of simultaneous loads
     */
    public static List<String> next(
            Collection<String> outdated, Collection<String> loading, int concurrentLoads) {
        List<String> next = new ArrayList<>();
        for (String runner : new TreeSet<>(outdated)) {
            boolean hasCapacity = loading.size() + next.size() < concurrentLoads;
            if (hasCapacity && !loading.contains(runner)) {
                next.add(runner);
            }
        }
        return next;
    }
}
