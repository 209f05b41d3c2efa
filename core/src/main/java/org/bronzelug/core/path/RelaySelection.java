package org.bronzelug.core.path;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the VM through which an endpoint is reached while the direct path to it is lost.
 *
 * <p>The VM that last opened a connection to the endpoint goes first, then VMs that have lost the
 * fewest paths themselves, in random order. A VM that failed to reach an endpoint is not selected
 * again for that endpoint for {@link #FAILURE_NANOS}; neither is, for any endpoint, a VM that could
 * not be reached.
 *
 * <p>Times are nanoseconds of the local monotonic clock. Not thread-safe.
 */
public final class RelaySelection {
    static final long FAILURE_NANOS = 1_000_000_000L;

    private final RandomGenerator random;
    private final Map<String, String> lastConnected = new HashMap<>();
    private final Map<Attempt, Long> failedUntilNanos = new HashMap<>();
    private final Map<String, Long> unreachableUntilNanos = new HashMap<>();
    private List<RelayPeer> peers = List.of();

    /** A VM and the endpoint that it was to connect to. Immutable. */
    private record Attempt(String vm, String endpoint) {}

    public RelaySelection(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the VMs that can be selected. */
    public void update(List<RelayPeer> newPeers, long nowNanos) {
        peers = List.copyOf(newPeers);
        failedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        unreachableUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        lastConnected.values().removeIf(vm -> !isListed(vm));
    }

    /** Returns whether a VM can be selected. */
    public boolean isListed(String vm) {
        return peers.stream().anyMatch(peer -> peer.vm().equals(vm));
    }

    /**
     * Selects a VM.
     *
     * @param tried VMs that are not to be selected
     * @return the VM; empty if none is left
     */
    public Optional<RelayPeer> select(String endpoint, Set<String> tried, long nowNanos) {
        List<RelayPeer> candidates =
                peers.stream()
                        .filter(peer -> !tried.contains(peer.vm()))
                        .filter(peer -> !hasFailed(peer.vm(), endpoint, nowNanos))
                        .toList();
        String last = lastConnected.getOrDefault(endpoint, "");
        Optional<RelayPeer> proven =
                candidates.stream().filter(peer -> peer.vm().equals(last)).findFirst();
        return proven.isPresent() ? proven : selectLeastCut(candidates);
    }

    private Optional<RelayPeer> selectLeastCut(List<RelayPeer> candidates) {
        int fewest = candidates.stream().mapToInt(RelayPeer::lostPaths).min().orElse(0);
        List<RelayPeer> best =
                candidates.stream()
                        .filter(peer -> peer.lostPaths() == fewest)
                        .sorted(Comparator.comparing(RelayPeer::vm))
                        .toList();
        return best.isEmpty()
                ? Optional.empty()
                : Optional.of(best.get(random.nextInt(best.size())));
    }

    private boolean hasFailed(String vm, String endpoint, long nowNanos) {
        return isBefore(nowNanos, failedUntilNanos.get(new Attempt(vm, endpoint)))
                || isBefore(nowNanos, unreachableUntilNanos.get(vm));
    }

    private static boolean isBefore(long nowNanos, Long untilNanos) {
        return untilNanos != null && nowNanos - untilNanos < 0;
    }

    /** Records that a VM has opened a connection to an endpoint. */
    public void recordConnected(String vm, String endpoint) {
        lastConnected.put(endpoint, vm);
    }

    /** Drops what is known of an endpoint that needs no relay any more. */
    public void forget(String endpoint) {
        lastConnected.remove(endpoint);
        failedUntilNanos.keySet().removeIf(attempt -> attempt.endpoint().equals(endpoint));
    }

    /** Records that a VM could not connect to an endpoint. */
    public void recordFailed(String vm, String endpoint, long nowNanos) {
        lastConnected.remove(endpoint, vm);
        failedUntilNanos.put(new Attempt(vm, endpoint), nowNanos + FAILURE_NANOS);
    }

    /** Records that a VM did not respond. */
    public void recordUnreachable(String vm, long nowNanos) {
        lastConnected.values().removeIf(vm::equals);
        unreachableUntilNanos.put(vm, nowNanos + FAILURE_NANOS);
    }
}
