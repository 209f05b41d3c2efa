package org.bronzelug.router.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.api.fleet.v1.EndpointWeights;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.placement.LoadEstimate;
import org.bronzelug.core.placement.PrefillRate;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.endpoint.EndpointConnections;
import org.bronzelug.router.endpoint.EndpointResponse;

/**
 * What this VM knows of one start of one endpoint. Confined to the traffic thread.
 *
 * <p>Failures make it suspect for a while that doubles up to a bound: a suspect endpoint is used
 * only where there is no other, so one that is dead costs each VM one failed request at each try.
 */
public final class EndpointState {
    private static final long FIRST_SUSPICION_NANOS = 500_000_000L;
    private static final int MAXIMUM_DOUBLINGS = 3;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Several times the latency of a plain call or of a short prompt. */
    private static final long LEAST_SILENT_NANOS = 900_000_000L;

    /** Multiple of the prefill time of this VM's prompts during which a runner may be silent. */
    private static final double SILENT_READINGS = 2;

    /** The control thread asks within a round of 150 ms, and has an answer in a few. */
    private static final long DOUBT_NANOS = 400_000_000L;

    private final EndpointConnections connections;
    private final PrefillRate prefillRate;
    private final LoadEstimate load = new LoadEstimate();
    private final Map<String, Long> answeredWeights = new HashMap<>();
    private EndpointEntry entry;
    private PeerEndpointUsage peerUse = PeerEndpointUsage.NONE;
    private Optional<EndpointLimit> limit = Optional.empty();
    private boolean ordered;
    private int failuresInRow;
    private long suspectUntilNanos = Long.MIN_VALUE;
    private final Set<DrainListener> requests = new HashSet<>();
    private long quietSinceNanos;
    private long weightsUnknownUntilNanos = Long.MIN_VALUE;

    EndpointState(EndpointEntry entry, EndpointConnections connections, PrefillRate prefillRate) {
        this.entry = entry;
        this.connections = connections;
        this.prefillRate = prefillRate;
    }

    public EndpointEntry entry() {
        return entry;
    }

    public EndpointConnections connections() {
        return connections;
    }

    /** The prefill rate of its pool. */
    PrefillRate prefillRate() {
        return prefillRate;
    }

    public LoadEstimate load() {
        return load;
    }

    /**
     * Takes in what the control thread knows.
     *
     * @return whether it begins to load weights
     */
    boolean update(EndpointEntry newer, PeerEndpointUsage use, boolean nowOrdered) {
        if (!newer.weights().equals(entry.weights())) {
            weightsUnknownUntilNanos = Long.MIN_VALUE;
        }
        entry = newer;
        peerUse = use;
        boolean begins = nowOrdered && !ordered;
        ordered = nowOrdered;
        return begins;
    }

    /** Asks its requests to move to other endpoints, as it is to load weights. */
    void drain() {
        Set.copyOf(requests).forEach(DrainListener::onDrain);
    }

    PeerEndpointUsage peerUse() {
        return peerUse;
    }

    /** Whether it refuses requests now: it loads weights, or has others than believed. */
    public boolean isLoading(long nowNanos) {
        return ordered || areWeightsUnknown(nowNanos);
    }

    /** Requests of all VMs, as far as known. */
    public int requests() {
        return requests.size() + peerUse.requests();
    }

    public int ownRequests() {
        return requests.size();
    }

    /** Requests of the other VMs, as last heard. */
    public int peerRequests() {
        return peerUse.requests();
    }

    /** Counts a request that is sent there. */
    public void begin(DrainListener request, long nowNanos) {
        if (requests.isEmpty()) {
            quietSinceNanos = nowNanos;
        }
        requests.add(request);
    }

    /** A request under way at an endpoint. */
    public interface DrainListener {
        /** The endpoint waits for the end of this request before it loads weights. */
        void onDrain();
    }

    /** Notes that bytes of an answer have arrived. */
    public void heard(long nowNanos) {
        quietSinceNanos = nowNanos;
    }

    /**
     * Whether nothing has come for long though something is due: the endpoint has lost its power,
     * or the path to it is cut. Its connections stay open then, and its entry is listed for
     * seconds.
     */
    public boolean isSilent(long nowNanos) {
        return !requests.isEmpty() && nowNanos - quietSinceNanos > silentNanos();
    }

    /** An engine sends nothing while it prefills a long prompt alone. */
    private double silentNanos() {
        double reading = load.ownTokens() * prefillRate.nanosPerToken();
        return Math.max(LEAST_SILENT_NANOS, SILENT_READINGS * reading);
    }

    /** Counts the end of a request there. */
    public void end(DrainListener request) {
        requests.remove(request);
    }

    /** The weights that it has: what its answers showed goes before its entry, which lags. */
    public long weights(String model) {
        long listed = entry.weights().getOrDefault(model, 0L);
        return Math.max(listed, answeredWeights.getOrDefault(model, 0L));
    }

    /** An answer or a refusal showed the version. */
    public void recordWeights(String model, long version) {
        answeredWeights.merge(model, version, Math::max);
    }

    /**
     * The runner refused a version: it has another one than believed, and which one is not said.
     *
     * <p>The failure this prevents: the newest version is assumed, the runner is still at the one
     * between, and every request that is sent there is refused until it has loaded the newest.
     */
    public void markWeightsUnknown(long nowNanos) {
        weightsUnknownUntilNanos = nowNanos + DOUBT_NANOS;
    }

    /** Whether the runner must be asked which weights it has before it gets requests. */
    public boolean areWeightsUnknown(long nowNanos) {
        return weightsUnknownUntilNanos != Long.MIN_VALUE && nowNanos < weightsUnknownUntilNanos;
    }

    /** Versions that answers showed before the entry told of them. */
    public List<EndpointWeights> weightsAheadOfEntry() {
        List<EndpointWeights> ahead = new ArrayList<>();
        answeredWeights.forEach(
                (model, version) -> {
                    if (version > entry.weights().getOrDefault(model, 0L)) {
                        ahead.add(
                                EndpointWeights.newBuilder()
                                        .setEndpoint(entry.id())
                                        .setBornMillis(entry.bornMillis())
                                        .setModel(model)
                                        .setVersion(version)
                                        .build());
                    }
                });
        return ahead;
    }

    /** Names one start of the endpoint with one version of weights: what its cache belongs to. */
    public String cacheIncarnation(String model) {
        return entry.id() + "/" + entry.bornMillis() + "/" + weights(model);
    }

    public void recordAnswer(EndpointResponse answer) {
        observeLimit(answer);
        if (!answer.isServerError() || answer.genuine()) {
            failuresInRow = 0;
            suspectUntilNanos = Long.MIN_VALUE;
        }
    }

    /** The limit on its requests; empty where it has never named one. */
    public Optional<EndpointLimit> limit() {
        return limit;
    }

    /** An answer that the endpoint did not stamp may lack what the endpoint says. */
    private void observeLimit(EndpointResponse answer) {
        long nowNanos = System.nanoTime();
        switch (answer.limit()) {
            case AdvertisedLimit.Rate named -> {
                if (answer.genuine() || answer.notExecuted()) {
                    takeLimit(named, nowNanos, "answer");
                }
            }
            case AdvertisedLimit.None none -> {
                if (answer.genuine()) {
                    takeLimit(none, nowNanos, "answer");
                }
            }
            case AdvertisedLimit.Malformed malformed ->
                    EventLog.warn(
                            LogEvent.ENDPOINT_LIMIT_MALFORMED,
                            "endpoint=" + entry.id() + " limit=\"" + malformed.text() + "\"");
        }
    }

    /** Takes in what a peer knows of the limit, and what it has sent. */
    void recordPeerLimit(PeerLimitUsage use, long nowNanos) {
        takeLimit(use.limit(), use.seenNanos(), "vm " + use.vm());
        limit.ifPresent(
                known -> known.recordPeer(use.vm(), use.incarnation(), use.count(), nowNanos));
    }

    private void takeLimit(AdvertisedLimit named, long seenNanos, String source) {
        if (limit.isEmpty()) {
            if (named instanceof AdvertisedLimit.None) {
                return;
            }
            limit = Optional.of(new EndpointLimit(seenNanos));
        }
        AdvertisedLimit before = limit.get().limit();
        long nowNanos = System.nanoTime();
        if (limit.get().observe(named, seenNanos, nowNanos)) {
            EventLog.info(
                    LogEvent.ENDPOINT_LIMIT_CHANGED,
                    ("endpoint=" + entry.id())
                            + (" limit=" + named)
                            + (" before=" + before)
                            + (" from=\"" + source + "\"")
                            + (" ageMillis=" + (nowNanos - seenNanos) / NANOS_PER_MILLI));
        }
    }

    public void recordFailure(long nowNanos) {
        int doublings = Math.min(failuresInRow, MAXIMUM_DOUBLINGS);
        failuresInRow++;
        suspectUntilNanos = nowNanos + (FIRST_SUSPICION_NANOS << doublings);
    }

    public boolean isSuspect(long nowNanos) {
        return isSilent(nowNanos)
                || suspectUntilNanos != Long.MIN_VALUE && nowNanos < suspectUntilNanos;
    }
}
