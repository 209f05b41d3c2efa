package org.bronzelug.router.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The idle connections to one endpoint, the most recently used one first. Confined to the traffic
 * thread.
 */
final class IdleConnections {
    /**
     * How long before an endpoint's idle limit an idle connection is not used any more. The
     * endpoint closes the connection at its limit, and a request sent at that moment may or may not
     * have run. Endpoints state their limits in whole seconds, and links have delays of
     * milliseconds.
     */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    private final Deque<EndpointConnection> connections = new ArrayDeque<>();

    void add(EndpointConnection connection) {
        connections.addFirst(connection);
    }

    void remove(EndpointConnection connection) {
        connections.remove(connection);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /**
     * Removes the most recently used connection that can carry a request now, and closes those that
     * can't carry one any more.
     *
     * @param isDoubtful whether a connection is to be kept but not used now
     */
    Optional<EndpointConnection> take(Predicate<EndpointConnection> isDoubtful, long nowNanos) {
        for (EndpointConnection candidate : List.copyOf(connections)) {
            if (!candidate.isUsable(nowNanos, IDLE_MARGIN_MILLIS)) {
                connections.remove(candidate);
                candidate.close();
            } else if (!isDoubtful.test(candidate)) {
                connections.remove(candidate);
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /** Closes the connections to which a condition applies. */
    void closeIf(Predicate<EndpointConnection> condition) {
        // Copied, since closing a connection removes it from the queue during the iteration.
        for (EndpointConnection connection : List.copyOf(connections)) {
            if (condition.test(connection)) {
                connections.remove(connection);
                connection.close();
            }
        }
    }
}
