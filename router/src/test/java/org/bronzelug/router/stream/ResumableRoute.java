package org.bronzelug.router.stream;

import java.util.List;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.routing.WeightedPool;

/** Makes routes whose streams last a minute at most and can be resumed. Stateless. */
final class ResumableRoute {
    private ResumableRoute() {}

    static Route to(String pool) {
        return new Route(
                "r",
                "h",
                "/",
                true,
                RetryPolicy.RESUMABLE,
                true,
                60_000,
                100,
                0,
                2,
                List.of(new WeightedPool(pool, 1)));
    }
}
