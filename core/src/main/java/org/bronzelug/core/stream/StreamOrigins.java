package org.bronzelug.core.stream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The origins of the streams that this VM began, and of those that it keeps for other VMs.
 *
 * <p>Invariants: the first origin of a stream that is recorded holds until the stream's caller has
 * given up, whatever is recorded later. At most {@link #MAXIMUM_ORIGINS} are kept, the latest ones.
 * An origin of which a copy was sent still counts as unshared, as the copy may be lost. Not
 * thread-safe.
 */
public final class StreamOrigins {
    /** Some 4 MB, more than a VM begins and keeps within the time limit of a stream. */
    static final int MAXIMUM_ORIGINS = 20_000;

    private final Map<StreamKey, StreamOrigin> origins = new LinkedHashMap<>();
    private final Map<StreamKey, StreamOrigin> unshared = new LinkedHashMap<>();
    private final Map<StreamKey, Long> copyDueNanos = new LinkedHashMap<>();

    /** Records an origin that other VMs know as well. */
    public void record(StreamOrigin origin, long nowNanos) {
        if (origin.untilNanos() - nowNanos <= 0 || find(origin.key(), nowNanos).isPresent()) {
            return;
        }
        origins.remove(origin.key());
        origins.put(origin.key(), origin);
        if (origins.size() > MAXIMUM_ORIGINS) {
            StreamKey eldest = origins.keySet().iterator().next();
            origins.remove(eldest);
            unshared.remove(eldest);
            copyDueNanos.remove(eldest);
        }
    }

    /** Records the origin of a stream of this VM that is not shared yet. */
    public void recordUnshared(StreamOrigin origin, long nowNanos) {
        record(origin, nowNanos);
        if (origin.equals(origins.get(origin.key()))) {
            unshared.put(origin.key(), origin);
            copyDueNanos.put(origin.key(), nowNanos);
        }
    }

    /** Returns the pools that have origins which are not shared. */
    public Set<String> unsharedPools() {
        return unshared.values().stream().map(StreamOrigin::pool).collect(Collectors.toSet());
    }

    /** Returns the origins in a pool that are not shared; from now on they count as shared. */
    public List<StreamOrigin> takeUnshared(String pool, long nowNanos) {
        List<StreamOrigin> taken = new ArrayList<>();
        for (StreamOrigin origin : List.copyOf(unshared.values())) {
            if (origin.pool().equals(pool)) {
                unshared.remove(origin.key());
                copyDueNanos.remove(origin.key());
                if (origin.untilNanos() - nowNanos > 0) {
                    taken.add(origin);
                }
            }
        }
        return taken;
    }

    /**
     * Returns the origins of open streams that are not shared and of which a copy is due: none was
     * sent yet, or the last one was sent long enough ago. Copies are not acknowledged.
     *
     * @param repeatNanos time until the next copy is due
     */
    public List<StreamOrigin> takeDueCopies(long nowNanos, long repeatNanos) {
        List<StreamOrigin> taken = new ArrayList<>();
        for (Map.Entry<StreamKey, Long> due : copyDueNanos.entrySet()) {
            if (due.getValue() - nowNanos <= 0) {
                find(due.getKey(), nowNanos).ifPresent(taken::add);
                due.setValue(nowNanos + repeatNanos);
            }
        }
        return taken;
    }

    /** Records that this VM has forwarded a whole stream, so that no copy of it is due again. */
    public void recordComplete(StreamKey key) {
        copyDueNanos.remove(key);
    }

    /** Returns the origin of a stream; empty if it is not known or the caller has given up. */
    public Optional<StreamOrigin> find(StreamKey key, long nowNanos) {
        return Optional.ofNullable(origins.get(key))
                .filter(origin -> origin.untilNanos() - nowNanos > 0);
    }

    /** Forgets the streams whose callers have given up. */
    public void expire(long nowNanos) {
        origins.values().removeIf(origin -> origin.untilNanos() - nowNanos <= 0);
        unshared.values().removeIf(origin -> origin.untilNanos() - nowNanos <= 0);
        copyDueNanos.keySet().retainAll(unshared.keySet());
    }

    /** Returns the number of origins kept. */
    public int size() {
        return origins.size();
    }
}
