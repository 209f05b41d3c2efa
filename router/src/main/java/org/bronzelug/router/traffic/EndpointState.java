package org.bronzelug.router.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.bronzelug.api.fleet.v1.EndpointWeights;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.placement.LoadEstimate;
import org.bronzelug.core.placement.PrefillRate;
import org.bronzelug.core.poison.EndpointRun;
import org.bronzelug.core.poison.EndpointStart;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.endpoint.EndpointConnections;
import org.bronzelug.router.endpoint.EndpointResponse;

/**
 * State that this VM keeps about one running instance of an endpoint: its entry in the platform's
 * list, its connection pool, the requests in flight, the versions of the weights that its responses
 * reported, what it advertises about the requests that it accepts, and its health.
 *
 * <p>A failure makes the endpoint suspect. The suspect period doubles with each consecutive failure
 * up to a bound, and the next regular response ends it. An endpoint is also suspect while it is
 * silent, that is while requests are in flight and no bytes arrive. A suspect endpoint is chosen
 * only if no other endpoint is available, so a dead endpoint costs each VM at most one failed
 * request per suspect period. An endpoint that has asked for a backoff is not chosen at all until
 * the backoff ends, and one that has stated that it leaves is never chosen again.
 *
 * <p>Invariant: an instance of this class belongs to one start of the endpoint. After a restart of
 * the endpoint {@link EndpointTable} creates a new one. Confined to the traffic thread.
 */
public final class EndpointState {
    private static final long INITIAL_SUSPECT_NANOS = 500_000_000L;
    private static final int MAXIMUM_DOUBLINGS = 3;

    /**
     * How long the weights of an endpoint stay unknown. The control thread queries the runner
     * within a round of 150 ms and has the response a few milliseconds later.
     */
    private static final long WEIGHTS_UNKNOWN_NANOS = 400_000_000L;

    private final EndpointConnections connections;
    private final EndpointAdvertisements advertisements;
    private final PrefillRate prefillRate;
    private final EndpointCapacity capacity;
    private final LoadEstimate load = new LoadEstimate();
    private final EndpointRun run;
    private final RejectionRisk rejectionRisk = new RejectionRisk();
    private final SilenceDetector silence;
    private final Map<String, Long> observedWeights = new HashMap<>();
    // The last name that cacheIncarnation returned: placement asks for it for each prompt.
    private String incarnation = "";
    private String incarnationModel = "";
    private long incarnationVersion = -1;
    private EndpointEntry entry;
    private PeerEndpointUsage peerUsage = PeerEndpointUsage.NONE;
    private boolean loadOrdered;
    private int consecutiveFailures;
    private long suspectUntilNanos = Long.MIN_VALUE;
    private final Set<RequestListener> ownRequests = new HashSet<>();
    private long weightsUnknownUntilNanos = Long.MIN_VALUE;

    EndpointState(
            EndpointEntry entry,
            EndpointConnections connections,
            PrefillRate prefillRate,
            AdaptivePools adaptivePools) {
        this.entry = entry;
        this.connections = connections;
        this.advertisements = new EndpointAdvertisements(entry.id());
        this.prefillRate = prefillRate;
        this.capacity = new EndpointCapacity(adaptivePools, entry.pool());
        this.silence = new SilenceDetector(connections, load, prefillRate);
        this.run =
                new EndpointRun(
                        new EndpointStart(entry.id(), entry.bornMillis()),
                        entry.pool(),
                        entry.softwareVersion());
    }

    public EndpointEntry entry() {
        return entry;
    }

    public EndpointConnections connections() {
        return connections;
    }

    /** Returns the requests at this start of the endpoint that may crash it. */
    public EndpointRun run() {
        return run;
    }

    /** Returns the prefill rate of the endpoint's pool. */
    PrefillRate prefillRate() {
        return prefillRate;
    }

    public LoadEstimate load() {
        return load;
    }

    /** Returns what is known about the work that the endpoint handles. */
    public EndpointCapacity capacity() {
        return capacity;
    }

    /**
     * Applies an update from the control thread.
     *
     * @param newer the current entry of the same start of the endpoint
     * @param usage the requests that the other VMs have in flight at the endpoint
     * @param nowOrdered whether the endpoint has an order to load weights
     * @return whether the order to load weights is new
     */
    boolean update(EndpointEntry newer, PeerEndpointUsage usage, boolean nowOrdered) {
        if (!newer.weights().equals(entry.weights())) {
            weightsUnknownUntilNanos = Long.MIN_VALUE;
        }
        entry = newer;
        peerUsage = usage;
        capacity.setPeers(usage, System.nanoTime());
        boolean newlyOrdered = nowOrdered && !loadOrdered;
        loadOrdered = nowOrdered;
        return newlyOrdered;
    }

    /** Notifies this VM's requests in flight that the endpoint is to be drained. */
    void drain() {
        Set.copyOf(ownRequests).forEach(RequestListener::onDrain);
    }

    /** Notifies this VM's requests in flight that none may begin on the endpoint's weights. */
    void expireWeights() {
        Set.copyOf(ownRequests).forEach(RequestListener::onWeightsExpired);
    }

    /** Notifies this VM's requests in flight that parts have been put under quarantine. */
    void quarantineParts() {
        Set.copyOf(ownRequests).forEach(RequestListener::onPartsQuarantined);
    }

    /**
     * Returns whether the endpoint is expected to reject requests now, because it loads weights or
     * has another version of them than estimated.
     */
    public boolean isExpectedToReject(long nowNanos) {
        return loadOrdered || areWeightsUnknown(nowNanos);
    }

    /** Returns the number of requests in flight from all VMs, as far as this VM knows. */
    public int requests() {
        return ownRequests.size() + peerUsage.requests();
    }

    public int ownRequests() {
        return ownRequests.size();
    }

    /** Returns the load by the other VMs, as they last reported it. */
    PeerEndpointUsage peerUsage() {
        return peerUsage;
    }

    /** Returns the number of requests in flight from the other VMs, as they last reported it. */
    public int peerRequests() {
        return peerUsage.requests();
    }

    /** Records that this VM sends a request to the endpoint. */
    public void begin(RequestListener request, long nowNanos) {
        if (ownRequests.isEmpty()) {
            silence.recordActivity(nowNanos);
        }
        ownRequests.add(request);
    }

    /** A request in flight at an endpoint. */
    public interface RequestListener {
        /**
         * Called when the endpoint is to load weights or be replaced once its requests have ended.
         */
        void onDrain();

        /** Called when no request may begin on the endpoint's weights any more; may be repeated. */
        void onWeightsExpired();

        /** Called when parts of prompts have been put under quarantine. */
        void onPartsQuarantined();
    }

    /** Records that bytes of a response have arrived. */
    public void recordActivity(long nowNanos) {
        silence.recordActivity(nowNanos);
    }

    /** Returns whether requests are in flight but no bytes have arrived for too long. */
    public boolean isSilent(long nowNanos) {
        return !ownRequests.isEmpty() && silence.isSilent(nowNanos);
    }

    /** Returns whether requests in flight wait in vain. */
    public boolean isStalled(long nowNanos) {
        return !ownRequests.isEmpty() && silence.isStalled(nowNanos);
    }

    /**
     * Checks this VM's path to the endpoint if requests in flight get no response. A runner that
     * loads weights sends nothing for a while.
     *
     * @param lastSilentLossNanos when this VM last lost a path to silence; empty if never
     */
    void checkPathIfSilent(OptionalLong lastSilentLossNanos, long nowNanos) {
        if (!ownRequests.isEmpty() && !loadOrdered) {
            boolean engine = !entry.weights().isEmpty();
            silence.checkPathIfSilent(engine, lastSilentLossNanos, nowNanos);
        }
    }

    /** Records that a request of this VM has left the endpoint. */
    public void end(RequestListener request) {
        ownRequests.remove(request);
    }

    /**
     * Returns the version of a model's weights that the endpoint has: the newer of the versions in
     * its entry, which lags, and in its responses.
     */
    public long weights(String model) {
        long listed = entry.weights().getOrDefault(model, 0L);
        return Math.max(listed, observedWeights.getOrDefault(model, 0L));
    }

    /**
     * Records the version of the weights that a response or rejection of the endpoint reported,
     * unless the model's name, which the caller has chosen, may not be recorded.
     */
    public void recordWeights(String model, long version) {
        if (entry.mayRecordWeights(model, observedWeights.keySet())) {
            observedWeights.merge(model, version, Math::max);
        }
    }

    /**
     * Records that the runner rejected a request because it has another version of the weights than
     * estimated; the rejection does not state which one.
     *
     * <p>Without this, the newest version would be assumed. A runner that still has a version in
     * between would then reject every request until it has loaded the newest one.
     */
    public void markWeightsUnknown(long nowNanos) {
        weightsUnknownUntilNanos = nowNanos + WEIGHTS_UNKNOWN_NANOS;
    }

    /**
     * Records that the endpoint rejected a request.
     *
     * @param misdirected whether because its identity or its weights are not the expected ones
     */
    public void recordRejection(boolean misdirected, long nowNanos) {
        if (misdirected) {
            markWeightsUnknown(nowNanos);
        } else {
            capacity.recordRejection();
            recordFailure(nowNanos);
        }
    }

    /** Returns whether the runner must report its weights before it gets requests. */
    public boolean areWeightsUnknown(long nowNanos) {
        return weightsUnknownUntilNanos != Long.MIN_VALUE && nowNanos < weightsUnknownUntilNanos;
    }

    /** Returns the versions from responses that are newer than those in the endpoint's entry. */
    public List<EndpointWeights> weightsAheadOfEntry() {
        List<EndpointWeights> ahead = new ArrayList<>();
        observedWeights.forEach(
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

    /**
     * Returns an identifier of one start of the endpoint with one version of the weights. Cached
     * prefixes are valid only within one incarnation.
     */
    public String cacheIncarnation(String model) {
        long version = weights(model);
        if (version != incarnationVersion || !model.equals(incarnationModel)) {
            incarnationModel = model;
            incarnationVersion = version;
            incarnation = entry.id() + "/" + entry.bornMillis() + "/" + version;
        }
        return incarnation;
    }

    public void recordResponse(EndpointResponse response) {
        long nowNanos = System.nanoTime();
        advertisements.recordResponse(response, nowNanos);
        rejectionRisk.recordResponse(response, nowNanos);
        response.load().ifPresent(reported -> capacity.recordLoad(reported, nowNanos));
        if (isLeaving()) {
            connections.retire();
        }
        if (!response.isServerError() || response.genuine()) {
            consecutiveFailures = 0;
            suspectUntilNanos = Long.MIN_VALUE;
        }
    }

    /** Returns the rejections in a second that the endpoint withstands; empty if it states none. */
    OptionalDouble rejectionTolerance() {
        return advertisements.rejectionTolerance();
    }

    public RejectionRisk rejectionRisk() {
        return rejectionRisk;
    }

    /** Returns the limit on the endpoint's requests; empty if it has never advertised one. */
    public Optional<EndpointLimit> limit() {
        return advertisements.limit();
    }

    /** Applies the limit that a peer has observed, and the peer's usage of it. */
    void recordPeerLimit(PeerLimitUsage peer, long nowNanos) {
        advertisements.recordPeerLimit(peer, nowNanos);
    }

    /** Returns whether this VM may send new requests to the endpoint now. */
    public boolean isAvailable(long nowNanos) {
        return !isLeaving() && unavailableNanos(nowNanos) == 0;
    }

    /**
     * Returns whether a request for which a connection is open may be sent. A refused connect says
     * nothing about open connections: a runner at its limit on connections serves them.
     */
    public boolean isAvailableOnOpenConnection(long nowNanos) {
        return !isLeaving() && advertisements.backoff().remainingNanos(nowNanos) == 0;
    }

    /** Returns whether a response has stated that the endpoint leaves, whatever its entry says. */
    boolean isLeaving() {
        return advertisements.isLeaving();
    }

    /**
     * Returns the time until this VM may send new requests to the endpoint, after a backoff that
     * the endpoint asked for or a failed connect; 0 if it may now.
     */
    public long unavailableNanos(long nowNanos) {
        return Math.max(
                advertisements.backoff().remainingNanos(nowNanos),
                connections.unreachableNanos(nowNanos));
    }

    public void recordFailure(long nowNanos) {
        int doublings = Math.min(consecutiveFailures, MAXIMUM_DOUBLINGS);
        consecutiveFailures++;
        suspectUntilNanos = nowNanos + (INITIAL_SUSPECT_NANOS << doublings);
    }

    public boolean isSuspect(long nowNanos) {
        return isSilent(nowNanos)
                || suspectUntilNanos != Long.MIN_VALUE && nowNanos < suspectUntilNanos;
    }
}
