package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;
import org.bronzelug.router.traffic.WeightsTarget;

/**
 * What this VM believes of the platform's objects.
 *
 * <p>Invariant: the configuration's version and each model's weights never go back. Confined to the
 * control thread.
 */
public final class ControlState {
    /** The kind in which the right to give orders is kept. */
    public static final String LEASE_KIND = "order-leases";

    private final ObjectDecoder decoder;
    private final long unknownAgeNanos;
    private final Map<String, ObjectMirror> mirrors = new HashMap<>();
    private final EndpointList endpoints = new EndpointList();
    private final Map<String, WeightsTarget> weights = new HashMap<>();
    private Optional<RoutingConfiguration> configuration = Optional.empty();

    /**
     * @param unknownAgeNanos how long ago weights count as named that this VM finds at its start
     */
    ControlState(ObjectDecoder decoder, long unknownAgeNanos) {
        this.decoder = decoder;
        this.unknownAgeNanos = unknownAgeNanos;
        for (String kind : kinds()) {
            mirrors.put(kind, new ObjectMirror());
        }
    }

    /** The kinds that this VM keeps a copy of. */
    List<String> kinds() {
        List<String> kinds = new ArrayList<>(readKinds());
        kinds.add(LEASE_KIND);
        return kinds;
    }

    /** The kinds that others write. */
    List<String> readKinds() {
        return List.of(decoder.configurationKind(), decoder.endpointKind(), decoder.weightsKind());
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

    /** All endpoints with the newest known of their weights. */
    public Map<String, EndpointEntry> endpoints() {
        return endpoints.entries();
    }

    public Map<String, WeightsTarget> weights() {
        return weights;
    }

    /** Whether requests can be served from what is known. */
    public boolean isComplete() {
        return configuration.isPresent() && mirror(decoder.endpointKind()).isKnown();
    }

    /** A kind's mirror has changed: its objects are read anew. */
    void onChange(String kind) {
        if (kind.equals(decoder.configurationKind())) {
            readConfiguration();
        } else if (kind.equals(decoder.endpointKind())) {
            readEndpoints();
        } else if (kind.equals(decoder.weightsKind())) {
            mirror(kind).items().forEach(this::readWeights);
        }
    }

    private void readConfiguration() {
        Optional<RoutingConfiguration> read =
                decoder.configuration(mirror(decoder.configurationKind()).items());
        long known = configuration.map(RoutingConfiguration::version).orElse(0L);
        read.filter(newer -> newer.version() > known)
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

    private void readEndpoints() {
        Map<String, EndpointEntry> listed = new HashMap<>();
        for (StoredItem item : mirror(decoder.endpointKind()).items()) {
            decoder.endpoint(item).ifPresent(entry -> listed.put(entry.id(), entry));
        }
        Map<String, EndpointEntry> before = endpoints.entries();
        endpoints.update(listed, System.nanoTime());
        logChanges(before, endpoints.entries());
    }

    private static void logChanges(
            Map<String, EndpointEntry> before, Map<String, EndpointEntry> now) {
        for (EndpointEntry entry : now.values()) {
            if (!entry.equals(before.get(entry.id()))) {
                EventLog.info(LogEvent.RUNNER_UP, "endpoint=" + entry);
            }
        }
        for (EndpointEntry entry : before.values()) {
            if (!now.containsKey(entry.id())) {
                EventLog.info(LogEvent.RUNNER_DOWN, "endpoint=" + entry);
            }
        }
    }

    private void readWeights(StoredItem item) {
        boolean young = mirror(decoder.weightsKind()).isSeenHappening(item.revision());
        decoder.weights(item).ifPresent(named -> takeWeights(named, young ? 0 : unknownAgeNanos));
    }

    /**
     * @param ageNanos how long ago the version counts as named if it is the first of its model.
     *     Only one that this VM found at its start is of unknown age. The failure this prevents: a
     *     model's first new version counts as named seconds before it was, so all runners are too
     *     old for a request long before one has loaded it, and every request is refused.
     */
    private void takeWeights(ObjectDecoder.AdvertisedWeights named, long ageNanos) {
        WeightsTarget known = weights.get(named.model());
        if (known != null && known.version() >= named.version()) {
            return;
        }
        long nowNanos = System.nanoTime();
        WeightsTarget target =
                known == null
                        ? WeightsTarget.first(named.model(), named.version(), nowNanos - ageNanos)
                        : known.with(named.version(), nowNanos);
        weights.put(named.model(), target);
        EventLog.info(
                LogEvent.WEIGHTS_NAMED, "model=" + named.model() + " version=" + named.version());
    }
}
