package org.bronzelug.router.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.bronzelug.core.admission.StopAdmission;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.router.exchange.WireFormat;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.poison.PoisonDirectory;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.LoadSettings;
import org.bronzelug.router.stream.StreamOriginDirectory;

/**
 * State that decisions on requests are based on: the configuration in force, endpoints, team rates
 * and retry budgets. Confined to the traffic thread; the control thread passes its updates to
 * {@link #apply} on that thread.
 */
public final class TrafficState {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final FleetBounds bounds;
    private final EndpointTable endpoints;
    private final TeamRates rates;
    private final WeightsAges weightsAges;
    private final WeightsExpiry weightsExpiry;
    private final EndpointChoice choice;
    private final SpeedSamples speedSamples = new SpeedSamples();
    private final RolloutTable rollouts;
    private final StreamOriginDirectory origins;
    private final PoisonDirectory poison;
    private final RetryBudgets retries;
    private final TeamShares shares;
    private final StopAdmission stopAdmission = new StopAdmission();
    private Runnable updateListener = () -> {};
    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private int vmCount = 1;

    public TrafficState(
            EventLoop traffic,
            WireFormat wire,
            FleetBounds bounds,
            RouterMetrics metrics,
            String availabilityZone,
            boolean fleetStarts,
            LoadSettings load) {
        this.bounds = bounds;
        this.endpoints = new EndpointTable(traffic, wire, new AdaptivePools(load.memoryPressure()));
        this.poison = new PoisonDirectory(traffic, this::withdrawQuarantined);
        endpoints.setCrashListener(this::recordCrash);
        endpoints.setMetrics(metrics);
        this.rates = new TeamRates(fleetStarts, load.rateSlackTokens());
        this.shares = new TeamShares(rates, endpoints);
        this.retries = new RetryBudgets(bounds, metrics, fleetStarts);
        this.origins = new StreamOriginDirectory(traffic);
        this.rollouts = new RolloutTable(bounds.exposureShare());
        long weightsNanos = bounds.weightsMillis() * NANOS_PER_MILLI;
        this.weightsAges = new WeightsAges(weightsNanos);
        this.weightsExpiry = new WeightsExpiry(traffic, endpoints, weightsAges);
        this.choice = new EndpointChoice(endpoints, availabilityZone, weightsAges);
    }

    /** Applies an update from the control thread. */
    public void apply(TrafficUpdate update) {
        configuration = update.configuration();
        vmCount = Math.max(update.vmCount(), bounds.leastVms());
        retries.setVmCount(update.vmCount());
        Set<String> shifting = rollouts.update(update.rollouts(), update.endpoints().values());
        endpoints.update(update);
        origins.update(
                update.endpoints().values(),
                update.listCurrent(),
                configuration.map(RoutingConfiguration::resumableRoutes).orElse(List.of()));
        weightsAges.update(update.weights());
        choice.recordPeerReads(update.peerReads(), System.nanoTime());
        boolean adaptive = endpoints.adaptivePools().isAny();
        rates.update(update, adaptive, System.nanoTime());
        shifting.forEach(this::drainCurrentVersion);
        weightsExpiry.update();
        updatePoison();
        updateListener.run();
    }

    /** Sets what to do after each update from the control thread, on the traffic thread. */
    public void setUpdateListener(Runnable listener) {
        updateListener = listener;
    }

    private void updatePoison() {
        long nowNanos = System.nanoTime();
        List<String> pools = new ArrayList<>();
        for (EndpointState endpoint : endpoints.all()) {
            pools.add(endpoint.entry().pool());
            if (endpoint.connections().hasIdle()) {
                endpoint.run().recordConnected(nowNanos);
            }
        }
        poison.round(pools);
    }

    /** Records a crash; an endpoint that drains ends regularly. */
    private void recordCrash(EndpointState endpoint, OptionalLong lostNanos) {
        if (!endpoint.entry().draining() && !endpoint.isLeaving()) {
            poison.recordCrash(endpoint.run(), lostNanos, System.nanoTime());
        }
    }

    private void withdrawQuarantined() {
        endpoints.allAndRemoved().forEach(EndpointState::quarantineParts);
    }

    /** Asks the requests at a pool's current version to move to the target version. */
    private void drainCurrentVersion(String pool) {
        for (EndpointState endpoint : endpoints.acceptingRequests(pool)) {
            if (rollouts.isCurrent(endpoint.entry())) {
                endpoint.drain();
            }
        }
    }

    public Optional<RoutingConfiguration> configuration() {
        return configuration;
    }

    public EndpointTable endpoints() {
        return endpoints;
    }

    public EndpointChoice choice() {
        return choice;
    }

    public SpeedSamples speedSamples() {
        return speedSamples;
    }

    public WeightsAges weightsAges() {
        return weightsAges;
    }

    public RolloutTable rollouts() {
        return rollouts;
    }

    /** Returns what is known of the software versions at which streams began. */
    public StreamOriginDirectory origins() {
        return origins;
    }

    /** Returns what is known of parts of prompts that crash endpoints. */
    public PoisonDirectory poison() {
        return poison;
    }

    public TeamRates rates() {
        return rates;
    }

    /** Returns the teams' fair shares of the work that the fleet accepts. */
    public TeamShares shares() {
        return shares;
    }

    /** Returns the decisions on which requests are still sent once this VM stops. */
    public StopAdmission stopAdmission() {
        return stopAdmission;
    }

    public RetryBudgets retries() {
        return retries;
    }

    /**
     * Returns whether a request may be sent to an endpoint whose pool fails if it has to reject too
     * many; true for any other pool.
     */
    public boolean tryRiskRejection(EndpointState endpoint, long nowNanos) {
        OptionalDouble tolerance = endpoints.rejectionTolerance(endpoint.entry().pool());
        return tolerance.isEmpty()
                || endpoint.rejectionRisk()
                        .tryTake(
                                endpoint.requests(),
                                endpoint.entry().slots(),
                                tolerance.getAsDouble(),
                                vmCount,
                                nowNanos);
    }
}
