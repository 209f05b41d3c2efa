package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.api.fleet.v1.PublishedWeights;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;
import org.bronzelug.router.traffic.WeightsTarget;

/**
 * The platform's objects as this VM knows them: one {@link ObjectMirror} for each kind, and the
 * configuration, endpoints and target weights decoded from the mirrors.
 *
 * <p>Invariant: neither the configuration's version nor the target version of a model's weights
 * ever decreases. Confined to the control thread.
 */
public final class ControlState {
    /** The kind that holds the order lease, i.e. the right to give orders to runners. */
    public static final String LEASE_KIND = "order-leases";

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NO_VERSION = -1;

    /** Difference between a peer's age of a version and this VM's that is not worth a change. */
    private static final long LEAST_CORRECTION_NANOS = 20_000_000L;

    private final ObjectDecoder decoder;
    private final long initialWeightsAgeNanos;
    private final Map<String, ObjectMirror> mirrors = new HashMap<>();
    private final DecodedItems<RoutingConfiguration> configurations;
    private final DecodedItems<EndpointEntry> listedEndpoints;
    private final DecodedItems<Published> publishedWeights;
    private final EndpointList endpoints;
    private final Map<String, WeightsTarget> weights = new HashMap<>();
    // The version of each model that was published before this VM started: its age is assumed.
    private final Map<String, Long> assumedVersions = new HashMap<>();
    private Optional<RoutingConfiguration> configuration = Optional.empty();

    /**
     * @param initialWeightsAgeNanos assumed age of weights that were published before this VM
     *     started
     * @param runnerReportMillis interval at which runners renew their entries
     */
    ControlState(ObjectDecoder decoder, long initialWeightsAgeNanos, long runnerReportMillis) {
        this.decoder = decoder;
        this.endpoints = new EndpointList(runnerReportMillis);
        this.configurations = new DecodedItems<>(item -> decoder.configuration(List.of(item)));
        this.listedEndpoints = new DecodedItems<>(decoder::endpoint);
        this.publishedWeights = new DecodedItems<>(this::published);
        this.initialWeightsAgeNanos = initialWeightsAgeNanos;
        for (String kind : kinds()) {
            mirrors.put(kind, new ObjectMirror());
        }
    }

    /** Returns the kinds that this VM mirrors. */
    List<String> kinds() {
        List<String> kinds = new ArrayList<>(readOnlyKinds());
        kinds.add(LEASE_KIND);
        return kinds;
    }

    /** Returns the kind that lists the endpoints. */
    String endpointKind() {
        return decoder.endpointKind();
    }

    /** Returns the mirrored kinds that the VMs only read. */
    List<String> readOnlyKinds() {
        List<String> kinds = new ArrayList<>();
        kinds.add(decoder.configurationKind());
        kinds.add(decoder.endpointKind());
        kinds.add(decoder.weightsKind());
        decoder.rolloutKind().ifPresent(kinds::add);
        return kinds;
    }

    public ObjectMirror mirror(String kind) {
        return mirrors.get(kind);
    }

    public Optional<RoutingConfiguration> configuration() {
        return configuration;
    }

    public EndpointList endpointList() {
        return endpoints;
    }

    /** Returns all endpoints by id, each with the newest known version of its weights. */
    public Map<String, EndpointEntry> endpoints() {
        return endpoints.entries();
    }

    public Map<String, WeightsTarget> weights() {
        return weights;
    }

    /**
     * Returns whether enough is known to serve requests: a configuration and the list of endpoints.
     */
    public boolean isComplete() {
        return configuration.isPresent() && mirror(decoder.endpointKind()).isKnown();
    }

    /** Decodes the objects of a kind after its mirror has changed. */
    void onChange(String kind) {
        if (kind.equals(decoder.configurationKind())) {
            decodeConfiguration();
        } else if (kind.equals(decoder.endpointKind())) {
            decodeEndpoints();
        } else if (kind.equals(decoder.weightsKind())) {
            publishedWeights.update(mirror(kind).items()).forEach(this::recordPublished);
        }
    }

    private void decodeConfiguration() {
        Optional<RoutingConfiguration> decoded =
                configurations.update(mirror(decoder.configurationKind()).items()).stream()
                        .findFirst();
        long known = configuration.map(RoutingConfiguration::version).orElse(0L);
        decoded.filter(newer -> newer.version() > known)
                .ifPresent(
                        newer -> {
                            configuration = Optional.of(newer);
                            EventLog.info(
                                    LogEvent.CONFIGURATION_INSTALLED,
                                    "version="
                                            + newer.version()
                                            + " before="
                                            + known
                                            + " routes="
                                            + newer.routeCount()
                                            + " teams="
                                            + newer.teams().size());
                        });
    }

    private void decodeEndpoints() {
        Map<String, EndpointEntry> listed = new HashMap<>();
        listedEndpoints
                .update(mirror(decoder.endpointKind()).items())
                .forEach(entry -> listed.put(entry.id(), entry));
        Map<String, EndpointEntry> previous = endpoints.entries();
        endpoints.update(listed, System.nanoTime());
        logEndpointChanges(
                previous, endpoints.entries(), mirror(decoder.endpointKind()).revision());
    }

    private static void logEndpointChanges(
            Map<String, EndpointEntry> previous,
            Map<String, EndpointEntry> current,
            long revision) {
        String suffix = " revision=" + revision;
        for (EndpointEntry entry : current.values()) {
            if (!entry.equals(previous.get(entry.id()))) {
                EventLog.info(LogEvent.RUNNER_UP, "endpoint=" + entry + suffix);
            }
        }
        for (EndpointEntry entry : previous.values()) {
            if (!current.containsKey(entry.id())) {
                EventLog.info(LogEvent.RUNNER_DOWN, "endpoint=" + entry + suffix);
            }
        }
    }

    /** A published version and the revision of the object that names it. */
    private record Published(ObjectDecoder.PublishedWeights weights, long revision) {}

    private Optional<Published> published(StoredItem item) {
        return decoder.weights(item).map(weights -> new Published(weights, item.revision()));
    }

    private void recordPublished(Published published) {
        boolean changedWhileWatching =
                mirror(decoder.weightsKind()).isChangedSinceFirstList(published.revision);
        updateTarget(published.weights, changedWhileWatching ? 0 : initialWeightsAgeNanos);
    }

    /**
     * @param ageNanos assumed age of the version, used if it is the first known one of its model.
     *     Only a version that was published before this VM started has an unknown age. Without this
     *     distinction, a model's first new version is assumed to be seconds older than it is, so
     *     all runners are too far behind for a request long before any of them can have loaded it,
     *     and every request is rejected.
     */
    private void updateTarget(ObjectDecoder.PublishedWeights published, long ageNanos) {
        WeightsTarget known = weights.get(published.model());
        if (known != null && known.version() >= published.version()) {
            return;
        }
        long nowNanos = System.nanoTime();
        long publishedNanos = nowNanos - (known == null ? ageNanos : 0);
        if (known == null && ageNanos > 0) {
            assumedVersions.put(published.model(), published.version());
        }
        setTarget(published.model(), published.version(), publishedNanos, nowNanos, "platform");
    }

    /**
     * Records for how long a peer has known a published version.
     *
     * <p>Without this, a VM that was suspended, or whose watch was lost, when a version was
     * published lets requests begin on older weights for as much longer.
     *
     * @param ageNanos for how long the peer has known it
     * @param nowNanos the time now, by this VM's monotonic clock
     */
    void recordPeerAge(String peer, String model, long version, long ageNanos, long nowNanos) {
        long publishedNanos = nowNanos - ageNanos;
        if (isAssumed(model, version)) {
            assumedVersions.remove(model);
            weights.computeIfPresent(model, (name, target) -> target.without(version));
        }
        Optional<WeightsTarget> known = Optional.ofNullable(weights.get(model));
        Optional<Long> knownNanos = known.map(target -> target.publishedNanos().get(version));
        boolean earlier =
                knownNanos
                        .filter(nanos -> nanos - publishedNanos > LEAST_CORRECTION_NANOS)
                        .isPresent();
        if (knownNanos.isEmpty() || earlier) {
            setTarget(model, version, publishedNanos, nowNanos, peer);
        }
    }

    private boolean isAssumed(String model, long version) {
        return assumedVersions.getOrDefault(model, NO_VERSION) == version;
    }

    private void setTarget(
            String model, long version, long publishedNanos, long nowNanos, String source) {
        WeightsTarget known = weights.get(model);
        weights.put(
                model,
                known == null
                        ? WeightsTarget.first(model, version, publishedNanos)
                        : known.with(version, publishedNanos));
        long ageMillis = (nowNanos - publishedNanos) / NANOS_PER_MILLI;
        EventLog.info(
                LogEvent.WEIGHTS_NAMED,
                "model="
                        + model
                        + (" version=" + version)
                        + (" ageMillis=" + ageMillis)
                        + (" source=" + source));
    }

    /**
     * Returns the published versions, with their ages, that are younger than a time; none whose age
     * this VM only assumes.
     */
    List<PublishedWeights> publishedWithin(long nanos, long nowNanos) {
        List<PublishedWeights> published = new ArrayList<>();
        for (WeightsTarget target : weights.values()) {
            target.publishedNanos()
                    .forEach(
                            (version, publishedNanos) -> {
                                long ageNanos = nowNanos - publishedNanos;
                                if (ageNanos < nanos && !isAssumed(target.model(), version)) {
                                    published.add(
                                            PublishedWeights.newBuilder()
                                                    .setModel(target.model())
                                                    .setVersion(version)
                                                    .setAgeMillis(ageNanos / NANOS_PER_MILLI)
                                                    .build());
                                }
                            });
        }
        return published;
    }
}
