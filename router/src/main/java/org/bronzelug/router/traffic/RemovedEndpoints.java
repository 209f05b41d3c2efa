package org.bronzelug.router.traffic;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Optional;
import org.bronzelug.core.routing.EndpointEntry;

/**
 * The states of endpoints that have left the platform's list.
 *
 * <p>Without them, an endpoint whose entry expires during an outage of the platform and reappears
 * afterwards would get requests although it has asked for a backoff or stated that it leaves.
 *
 * <p>Invariant: holds at most {@link #MAXIMUM_STATES}, the most recently removed ones. Confined to
 * the traffic thread.
 */
final class RemovedEndpoints {
    /** More than all endpoints of a large fleet, whose entries may expire together in an outage. */
    static final int MAXIMUM_STATES = 2_048;

    private final LinkedHashMap<Start, EndpointState> states = new LinkedHashMap<>();

    /** One start of an endpoint. Immutable. */
    private record Start(String id, long bornMillis, String address) {
        static Start of(EndpointEntry entry) {
            return new Start(entry.id(), entry.bornMillis(), entry.address());
        }

        /** Written out, since the generated method links several method handles at each start. */
        @Override
        public boolean equals(Object object) {
            return object instanceof Start other
                    && id.equals(other.id)
                    && bornMillis == other.bornMillis
                    && address.equals(other.address);
        }

        @Override
        public int hashCode() {
            return id.hashCode();
        }
    }

    void add(EndpointState state) {
        states.putLast(Start.of(state.entry()), state);
        if (states.size() > MAXIMUM_STATES) {
            states.pollFirstEntry();
        }
    }

    Collection<EndpointState> all() {
        return states.values();
    }

    /** Removes and returns the state of the entry's start of the endpoint, if it is still held. */
    Optional<EndpointState> take(EndpointEntry entry) {
        return Optional.ofNullable(states.remove(Start.of(entry)));
    }
}
