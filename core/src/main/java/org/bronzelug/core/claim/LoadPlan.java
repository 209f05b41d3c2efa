package org.bronzelug.core.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Which runners load new weights next: at most so many at once, since a load gets slower beyond
 * that (2 at the association, 3 at Tapløn).
 *
 * <p>Stateless and thread-safe.
 */
public final class LoadPlan {
    private LoadPlan() {}

    /**
     * The runners to order now.
     *
     * @param outdated runners without the wanted weights
     * @param loading runners that load now, by order of this VM or by their own report, so that
     *     loads ordered by a former holder count as well
     * @param concurrentLoads the most loads at once
     */
    public static List<String> next(
            Collection<String> outdated, Collection<String> loading, int concurrentLoads) {
        List<String> next = new ArrayList<>();
        for (String runner : new TreeSet<>(outdated)) {
            boolean room = loading.size() + next.size() < concurrentLoads;
            if (room && !loading.contains(runner)) {
                next.add(runner);
            }
        }
        return next;
    }
}
