package org.bronzelug.core.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The recent crashes of endpoints, as all VMs have reported them, and the parts that explain them.
 *
 * <p>The part with the most evidence against it is taken as the cause of all crashes at which it
 * was; the remaining crashes alone count against the other parts. Parts that were at all of the
 * same crashes can't be told apart, and are returned together.
 *
 * <p>Invariant: the reports of several VMs on one start of an endpoint count as one crash. At most
 * {@link #MAXIMUM_CRASHES} are kept, the latest ones. Not thread-safe.
 */
final class CrashLog {
    /** Time for which a crash counts as evidence against the parts that were there. */
    static final long VALID_NANOS = TimeUnit.MINUTES.toNanos(10);

    static final int MAXIMUM_CRASHES = 256;

    /** Bounds the parts kept of one crash; an endpoint runs some hundred requests at most. */
    static final int MAXIMUM_SUSPECTS = 256;

    /** Crashes at which a part must have been to be a possible cause of them; the last included. */
    private static final int RECURRING = 3;

    /** Portion of the strongest evidence from which another part may as well be the cause. */
    private static final double SIMILAR = 0.6;

    private final LinkedHashMap<EndpointStart, EndpointCrash> crashes = new LinkedHashMap<>();

    /** The suspects of all crashes; empty if they have changed since. */
    private Optional<Set<PartKey>> suspects = Optional.empty();

    /** Parts that together explain several crashes. Immutable. */
    record Explanation(Set<PartKey> parts, Set<String> softwareVersions) {}

    /**
     * Records what one VM reports of a crash.
     *
     * @param harmless returns whether a part is known not to have caused it
     * @return whether the report contains anything new
     */
    boolean record(EndpointCrash reported, Predicate<PartKey> harmless) {
        Map<PartKey, Involvement> merged = new HashMap<>();
        EndpointCrash known = crashes.get(reported.start());
        if (known != null) {
            merged.putAll(known.suspects());
        }
        reported.suspects()
                .forEach(
                        (part, involvement) -> {
                            if (!harmless.test(part)) {
                                merged.merge(part, involvement, Involvement::first);
                            }
                        });
        Set<PartKey> requests = new HashSet<>(reported.requests());
        if (known != null) {
            requests.addAll(known.requests());
        }
        if (known != null && merged.equals(known.suspects()) && requests.equals(known.requests())) {
            return false;
        }
        EndpointCrash first = known == null ? reported : known;
        crashes.put(reported.start(), first.withSuspects(strongest(merged)).withRequests(requests));
        if (crashes.size() > MAXIMUM_CRASHES) {
            crashes.pollFirstEntry();
        }
        suspects = Optional.empty();
        return true;
    }

    private static Map<PartKey, Involvement> strongest(Map<PartKey, Involvement> all) {
        return all.size() <= MAXIMUM_SUSPECTS
                ? all
                : all.entrySet().stream()
                        .sorted(Map.Entry.comparingByValue())
                        .limit(MAXIMUM_SUSPECTS)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Returns the parts that had just begun at a crash and are not known to be harmless. */
    Set<PartKey> suspects() {
        if (suspects.isEmpty()) {
            Set<PartKey> begun = new HashSet<>();
            crashes.values().forEach(crash -> begun.addAll(crash.begunParts()));
            suspects = Optional.of(begun);
        }
        return suspects.get();
    }

    /** Returns those of the parts that were at several crashes. */
    Set<PartKey> recurring(Set<PartKey> parts) {
        Map<PartKey, Integer> counts = new HashMap<>();
        for (EndpointCrash crash : crashes.values()) {
            crash.suspects().keySet().forEach(part -> counts.merge(part, 1, Integer::sum));
        }
        return parts.stream()
                .filter(part -> counts.getOrDefault(part, 0) >= RECURRING)
                .collect(Collectors.toSet());
    }

    /** Clears a part of all crashes of a software version, since an endpoint has survived it. */
    void clear(PartKey part, String softwareVersion) {
        for (EndpointCrash crash : List.copyOf(crashes.values())) {
            if (crash.softwareVersion().equals(softwareVersion)
                    && crash.suspects().containsKey(part)) {
                Map<PartKey, Involvement> rest = new HashMap<>(crash.suspects());
                rest.remove(part);
                crashes.put(crash.start(), crash.withSuspects(rest));
                suspects = Optional.empty();
            }
        }
    }

    /** Returns what all VMs have reported of the crash of an endpoint. */
    Optional<EndpointCrash> find(EndpointStart start) {
        return Optional.ofNullable(crashes.get(start));
    }

    /**
     * Attributes crashes to a request: the parts that were at these crashes only are no longer
     * suspected.
     */
    void attribute(PartKey request) {
        Set<PartKey> elsewhere = new HashSet<>();
        for (EndpointCrash crash : crashes.values()) {
            if (!crash.requests().contains(request)) {
                elsewhere.addAll(crash.suspects().keySet());
            }
        }
        for (EndpointCrash crash : List.copyOf(crashes.values())) {
            if (crash.requests().contains(request)) {
                Map<PartKey, Involvement> rest = new HashMap<>(crash.suspects());
                rest.keySet().retainAll(elsewhere);
                crashes.put(crash.start(), crash.withSuspects(rest));
                suspects = Optional.empty();
            }
        }
    }

    /** Removes the crashes that no longer count. */
    void expire(long nowNanos) {
        if (crashes.values().removeIf(crash -> nowNanos - crash.atNanos() > VALID_NANOS)) {
            suspects = Optional.empty();
        }
    }

    /**
     * Returns the parts that explain several crashes, fewest parts for most crashes.
     *
     * @param explained returns whether the cause of a crash is known
     * @param endpoints the number of endpoints by pool
     */
    List<Explanation> explain(
            Predicate<EndpointCrash> explained, Map<String, Integer> endpoints, long nowNanos) {
        List<Explanation> explanations = new ArrayList<>();
        List<EndpointCrash> open =
                crashes.values().stream()
                        .filter(explained.negate())
                        .sorted(Comparator.comparingLong(EndpointCrash::atNanos))
                        .toList();
        Optional<Explanation> best = best(open, endpoints, nowNanos);
        while (best.isPresent()) {
            explanations.add(best.get());
            Set<PartKey> cause = best.get().parts();
            open =
                    open.stream()
                            .filter(crash -> !crash.suspects().keySet().containsAll(cause))
                            .toList();
            best = best(open, endpoints, nowNanos);
        }
        return explanations;
    }

    private static Optional<Explanation> best(
            List<EndpointCrash> open, Map<String, Integer> endpoints, long nowNanos) {
        Map<PartKey, Integer> counts = new HashMap<>();
        Map<PartKey, Integer> begun = new HashMap<>();
        for (EndpointCrash crash : open) {
            crash.suspects()
                    .forEach(
                            (part, involvement) -> {
                                counts.merge(part, 1, Integer::sum);
                                if (involvement == Involvement.BEGUN) {
                                    begun.merge(part, 1, Integer::sum);
                                }
                            });
        }
        counts.values().removeIf(count -> count < CrashEvidence.MINIMUM_CRASHES);
        begun.values().removeIf(count -> count < CrashEvidence.MINIMUM_CRASHES);
        Map<PartKey, CrashEvidence> evidence = new HashMap<>();
        for (PartKey part : counts.keySet()) {
            int size = endpoints.getOrDefault(part.pool(), 1);
            evidence.put(part, CrashEvidence.of(part, open, begun.keySet(), size, nowNanos));
        }
        return evidence.values().stream()
                .filter(CrashEvidence::isSufficient)
                .max(Comparator.comparingDouble(CrashEvidence::strength))
                .map(heaviest -> explanation(heaviest, evidence));
    }

    /**
     * Returns the part with the others that were at the same crashes and have similar evidence
     * against them: they can't be told apart.
     */
    private static Explanation explanation(
            CrashEvidence heaviest, Map<PartKey, CrashEvidence> evidence) {
        Set<PartKey> common = new HashSet<>();
        evidence.forEach(
                (part, other) -> {
                    boolean similar = other.strength() >= SIMILAR * heaviest.strength();
                    if (similar && other.crashes().containsAll(heaviest.crashes())) {
                        common.add(part);
                    }
                });
        Set<String> versions =
                heaviest.crashes().stream()
                        .map(EndpointCrash::softwareVersion)
                        .collect(Collectors.toUnmodifiableSet());
        return new Explanation(Set.copyOf(common), versions);
    }
}
