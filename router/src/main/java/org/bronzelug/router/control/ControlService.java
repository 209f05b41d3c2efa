package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.EndpointWeights;
import org.bronzelug.api.fleet.v1.KindRevision;
import org.bronzelug.api.fleet.v1.PublishedWeights;
import org.bronzelug.api.fleet.v1.TeamUse;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.core.membership.CallerSteering;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.FleetGossip;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.http.SmallHttpServer.SmallResponse;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.rollout.RolloutService;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.traffic.TrafficState;
import org.bronzelug.router.traffic.TrafficUpdate;

/**
 * Runs the control plane of one VM: keeps a copy of the platform's objects, exchanges state updates
 * with the other VMs, orders runners to load weights, and passes the result to the traffic thread.
 *
 * <p>Confined to the control thread, except for start and stop.
 */
public final class ControlService implements Service {
    public static final String NAME = "control";

    /**
     * Time after the start of this VM for which requests may still begin on older weights,
     * including a safety margin.
     */
    private static final long INITIAL_WEIGHTS_MILLIS = 3_000;

    /** Rounds between two lists of the registered VMs while no peer is reachable. */
    private static final int LIST_INTERVAL_ROUNDS = 10;

    /**
     * Versions of weights are reported to peers for this many times the bound on replaced weights.
     * A runner that has not loaded a version by then was out of reach.
     */
    private static final long REPORTED_WEIGHTS_BOUNDS = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop control;
    private final EventLoop traffic;
    private final VmSettings settings;
    private final String incarnation;
    private final ControlState state;
    private final TrafficState trafficState;
    private final MemberTable members;
    private final FleetGossip gossip;
    private final PlatformReading reading;
    private final VmRegistration registration;
    private final OrderService orders;
    private final RolloutService rollouts;
    private final FleetUpdates updates;
    private final FleetStreamOrigins streamOrigins;
    private final FleetPoisonReports poisonReports;
    private final StoredState stored;
    private final MissingEntryExpiry missingEntries;
    private final RoundPeriod period = new RoundPeriod();
    private final ProcessorOverload overload = new ProcessorOverload();
    private final long startNanos = System.nanoTime();
    private TrafficReport report = TrafficReport.none();
    private long sequence;
    private int rounds;
    private boolean reportPending;
    private boolean wasServing;
    private boolean stopped;
    private volatile boolean stopping;

    public ControlService(
            EventLoop control,
            EventLoop traffic,
            VmSettings settings,
            String incarnation,
            ObjectStore store,
            ObjectDecoder decoder,
            TrafficState trafficState,
            OrderService.Runners runners) {
        this.control = control;
        this.traffic = traffic;
        this.settings = settings;
        this.incarnation = incarnation;
        this.trafficState = trafficState;
        this.state =
                new ControlState(
                        decoder, initialWeightsAgeNanos(settings), settings.runnerReportMillis());
        this.missingEntries =
                new MissingEntryExpiry(control, state.endpointList(), this::updateTraffic);
        this.members = new MemberTable(settings.vm());
        this.gossip = new FleetGossip(control, settings.peersAddress(), this::onStateUpdate);
        this.reading =
                new PlatformReading(
                        control,
                        store,
                        settings,
                        state,
                        members,
                        this::onChange,
                        this::broadcastOwnState);
        this.registration =
                new VmRegistration(control, store, settings, members, reading::onListed);
        this.orders =
                new OrderService(control, store, settings, incarnation, state, members, runners);
        this.rollouts = new RolloutService(store, decoder, settings, incarnation, state, members);
        this.poisonReports =
                new FleetPoisonReports(
                        control, traffic, settings, members, gossip, trafficState.poison());
        trafficState.poison().setPeers(poisonReports);
        this.stored =
                new StoredState(
                        control,
                        traffic,
                        settings,
                        store,
                        members,
                        state,
                        reading::onChange,
                        trafficState,
                        poisonReports::adoptStored);
        this.streamOrigins =
                new FleetStreamOrigins(
                        control,
                        traffic,
                        settings,
                        members,
                        gossip,
                        trafficState.origins(),
                        stored);
        trafficState.origins().setPeers(streamOrigins);
        trafficState.origins().setArchive(streamOrigins);
        this.updates = new FleetUpdates(state, members, orders, rollouts, startNanos);
    }

    /**
     * Returns the assumed age of weights that were published before this VM started. The VM can't
     * know when they were published, so it assumes that requests may begin on weights older than
     * those for only {@link #INITIAL_WEIGHTS_MILLIS} more.
     */
    private static long initialWeightsAgeNanos(VmSettings settings) {
        long millis = Math.max(0, settings.bounds().weightsMillis() - INITIAL_WEIGHTS_MILLIS);
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Returns the service that exchanges state updates; the kernel starts it before this one. */
    public FleetGossip gossip() {
        return gossip;
    }

    @Override
    public void start() {
        settings.seedAddresses().forEach(members::addAddress);
        control.execute(
                () -> {
                    registration.start();
                    reading.start();
                    stored.start();
                });
        control.execute(this::runPeriodically);
    }

    @Override
    public void stop() {
        control.execute(
                () -> {
                    stopped = true;
                    reading.stop();
                    registration.stop();
                    stored.stop();
                });
    }

    /**
     * Begins a graceful stop: from now on this VM is no longer listed for callers and gives no
     * orders.
     */
    public void beginStop() {
        stopping = true;
        control.execute(this::runRoundSafely);
        control.execute(stored.origins()::stop);
        traffic.execute(trafficState.origins()::shareAll);
    }

    /**
     * Registers gauges for this VM's copy of the platform's objects and for the time that calls to
     * the platform have been waiting for a response.
     */
    public void addMetrics(RouterMetrics metrics) {
        metrics.gauge(
                "configuration_version",
                () -> state.configuration().map(RoutingConfiguration::version).orElse(0L));
        metrics.gauge("vms_heard", () -> members.live(System.nanoTime()).size());
        metrics.gauge("stream_origins_kept", () -> report.streamOrigins());
        metrics.gauge("parts_quarantined", () -> report.quarantines().size());
        metrics.gauge("paths_lost", () -> report.lostPaths().size());
        metrics.gauge("endpoints_suspect", () -> report.suspects().size());
        for (String kind : state.kinds()) {
            metrics.gauge("platform_revision_" + kind, () -> state.mirror(kind).revision());
            metrics.gauge(
                    "platform_unanswered_millis_" + kind, () -> reading.unansweredMillis(kind));
        }
    }

    /** Returns whether this VM serves requests of callers. */
    public boolean isServing() {
        return !stopping && state.isComplete();
    }

    /** Returns the VMs that callers may connect to: all reachable ones that serve requests. */
    public List<CallerSteering.Candidate> callersVms() {
        List<CallerSteering.Candidate> vms = new ArrayList<>();
        if (isServing()) {
            vms.add(
                    new CallerSteering.Candidate(
                            settings.callersAddress(),
                            settings.availabilityZone(),
                            settings.processorCapacity(),
                            overload.isOverloaded()));
        }
        for (Member member : members.live(System.nanoTime())) {
            VmState peer = member.state();
            if (peer.getServing() && !peer.getStopping()) {
                vms.add(
                        new CallerSteering.Candidate(
                                peer.getCallersAddress(),
                                peer.getAvailabilityZone(),
                                peer.getProcessorCapacity(),
                                peer.getOverloaded()));
            }
        }
        return vms;
    }

    /** Returns the response to a peer that reads the platform's objects from this VM. */
    public CompletableFuture<SmallResponse> changesResponse(QueryStringDecoder query) {
        return reading.changesResponse(query);
    }

    private void onChange(String kind) {
        state.onChange(kind);
        orders.onChange(kind);
        rollouts.onChange(kind);
        orders.round();
        updateTraffic();
        missingEntries.schedule();
    }

    private void runPeriodically() {
        if (stopped) {
            return;
        }
        runRoundSafely();
        control.schedule(this::runPeriodically, period.millis(fleetSize()), TimeUnit.MILLISECONDS);
    }

    private void runRoundSafely() {
        try {
            round();
        } catch (RuntimeException fault) {
            EventLog.warn(
                    LogEvent.INTERNAL_ERROR,
                    "control thread round failed, continuing with the next",
                    fault);
        }
    }

    private void round() {
        rounds++;
        if (reportPending) {
            // The traffic thread has not reported since the last round; peers must not take this VM
            // for dead.
            sendStateUpdates();
        }
        reportPending = true;
        long roundNanos = System.nanoTime();
        traffic.execute(
                () -> {
                    double delayMillis = (System.nanoTime() - roundNanos) / NANOS_PER_MILLI;
                    TrafficReport newReport = TrafficReport.of(trafficState);
                    control.execute(
                            () -> {
                                overload.record(delayMillis);
                                applyReport(newReport);
                            });
                });
        orders.round();
        reading.round(rounds);
        if (rounds % LIST_INTERVAL_ROUNDS == 0 && members.live(System.nanoTime()).isEmpty()) {
            registration.list();
        }
        registration.round(System.nanoTime());
        updateTraffic();
        logServingChange();
    }

    /**
     * Sends all VMs the usage of teams that are near their limit and of endpoints that advertise a
     * limit. Without this, a flood is admitted at several times its team's rate: in a large fleet
     * each VM sends to any other VM only about once a second, and until then the VMs together admit
     * the flood.
     */
    private void sendContendedUsage() {
        if (FleetGossip.isSmall(fleetSize())) {
            return;
        }
        List<TeamUse> contendedTeams =
                report.teams().stream()
                        .filter(use -> report.contendedTeams().contains(use.getTeam()))
                        .toList();
        if (contendedTeams.isEmpty() && report.contendedLimits().isEmpty()) {
            return;
        }
        VmState usage =
                VmState.newBuilder()
                        .setVm(settings.vm())
                        .setIncarnation(incarnation)
                        .setSequence(++sequence)
                        .setCountsOnly(true)
                        .addAllTeams(contendedTeams)
                        .addAllLimits(report.contendedLimits())
                        .build();
        gossip.sendToAll(usage, members.addresses());
    }

    private void broadcastOwnState() {
        gossip.sendToAll(ownState(), members.addresses());
    }

    private void sendStateUpdates() {
        gossip.send(ownState(), members.addresses());
        sendContendedUsage();
    }

    private void applyReport(TrafficReport newReport) {
        report = newReport;
        reportPending = false;
        period.record(newReport.isQuiet() && orders.ordersInProgress().isEmpty());
        sendStateUpdates();
        Map<String, Integer> load = updates.fleetLoad(newReport);
        orders.updateLoad(load);
        orders.updateUnreachable(newReport.lostPaths());
        rollouts.round(newReport.rollouts(), load);
        stored.round(newReport, fleetSize());
        newReport.weights().forEach(this::recordObservedWeights);
        newReport.runnersWithUnknownWeights().forEach(orders::queryWeights);
    }

    private void recordObservedWeights(EndpointWeights observed) {
        state.endpointList()
                .recordWeights(
                        observed.getEndpoint(),
                        observed.getBornMillis(),
                        observed.getModel(),
                        observed.getVersion());
    }

    private void logServingChange() {
        if (isServing() != wasServing) {
            wasServing = !wasServing;
            EventLog.info(
                    wasServing ? LogEvent.SERVING : LogEvent.NOT_SERVING,
                    "vm=" + settings.vm() + " stopping=" + stopping);
        }
    }

    private VmState ownState() {
        VmState.Builder builder =
                VmState.newBuilder()
                        .setVm(settings.vm())
                        .setIncarnation(incarnation)
                        .setSequence(++sequence)
                        .setAvailabilityZone(settings.availabilityZone())
                        .setCallersAddress(settings.callersAddress())
                        .setPeersAddress(settings.peersAddress())
                        .setServing(isServing())
                        .setProcessorCapacity(settings.processorCapacity())
                        .setOverloaded(overload.isOverloaded())
                        .setStopping(stopping)
                        .setAgeMillis(ageMillis())
                        .setRoundMillis(period.millis(fleetSize()))
                        .setReadsPlatform(reading.isReading())
                        .setPlatformLost(reading.isLost())
                        .setRelayPort(SocketSettings.port(settings.relayAddress()))
                        .setLostPaths(report.lostPaths().size())
                        .addAllTeams(report.teams())
                        .addAllEndpoints(report.endpoints())
                        .addAllReads(report.reads())
                        .addAllLimits(report.limits())
                        .addAllRollouts(report.rollouts())
                        .addAllAdaptivePools(report.adaptivePools())
                        .addAllQuarantines(
                                PoisonMessages.encode(report.quarantines(), System.nanoTime()))
                        .addAllPublishedWeights(
                                state.publishedWithin(reportedWeightsNanos(), System.nanoTime()));
        for (String kind : state.kinds()) {
            builder.addRevisions(
                    KindRevision.newBuilder()
                            .setKind(kind)
                            .setRevision(state.mirror(kind).revision()));
        }
        builder.addAllOrders(orders.ordersInProgress());
        nextKnownAddress().ifPresent(builder::addKnownAddresses);
        builder.addAllWeights(
                ObservedWeights.select(
                        state.endpointList().inUse(), state.endpointList().observedWeights()));
        return builder.build();
    }

    /**
     * Returns the address of a reachable VM, a different one in each state update, so that VMs that
     * know only a seed learn each other's addresses. Without this, VMs that start during an outage
     * of the platform, when they can't list each other, each admit what the others have already
     * admitted.
     */
    private Optional<String> nextKnownAddress() {
        List<Member> reachable = members.live(System.nanoTime());
        if (reachable.isEmpty()) {
            return Optional.empty();
        }
        int index = (int) (sequence % reachable.size());
        return Optional.of(reachable.get(index).state().getPeersAddress());
    }

    private long reportedWeightsNanos() {
        long millis = REPORTED_WEIGHTS_BOUNDS * settings.bounds().weightsMillis();
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void onStateUpdate(VmState peer, long nowNanos) {
        streamOrigins.receive(peer, nowNanos);
        poisonReports.receive(peer, nowNanos);
        Optional<String> knownIncarnation = members.incarnation(peer.getVm());
        if (!members.update(peer, nowNanos)) {
            return;
        }
        peer.getWeightsList().forEach(this::recordObservedWeights);
        for (PublishedWeights published : peer.getPublishedWeightsList()) {
            state.recordPeerAge(
                    peer.getVm(),
                    published.getModel(),
                    published.getVersion(),
                    TimeUnit.MILLISECONDS.toNanos(published.getAgeMillis()),
                    nowNanos);
        }
        boolean restarted = !knownIncarnation.equals(Optional.of(peer.getIncarnation()));
        if (restarted && isServing()) {
            // Notifies the restarted VM at once that it can read the configuration from this VM.
            gossip.sendTo(ownState(), peer.getPeersAddress());
            streamOrigins.sendHistory(peer.getPeersAddress());
        }
    }

    private void updateTraffic() {
        TrafficUpdate update =
                updates.next(isListCurrent(), period.propagationDelayNanos(fleetSize()));
        traffic.execute(() -> trafficState.apply(update));
    }

    /** Returns whether this VM knows the endpoints that the other VMs know. */
    private boolean isListCurrent() {
        int reachable = 1 + members.live(System.nanoTime()).size();
        return state.isComplete() && (reading.isReading() || 2 * reachable > fleetSize());
    }

    private int fleetSize() {
        return members.addresses().size();
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
