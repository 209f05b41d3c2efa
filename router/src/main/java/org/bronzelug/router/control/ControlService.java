package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.EndpointWeights;
import org.bronzelug.api.fleet.v1.KindRevision;
import org.bronzelug.api.fleet.v1.TeamUse;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.FleetGossip;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.http.HttpResponder.SmallResponse;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.traffic.TrafficState;
import org.bronzelug.router.traffic.TrafficUpdate;

/**
 * The control thread's work: watches the platform, exchanges state with peers, gives orders, and
 * tells the traffic thread.
 *
 * <p>Confined to the control thread, but for start and stop.
 */
public final class ControlService implements Service {
    public static final String NAME = "control";

    /** How long older weights may be used after a start, margin included. */
    private static final long START_WEIGHTS_MILLIS = 3_000;

    /** Rounds between two lists of VMs while no peer is heard. */
    private static final int LIST_ROUNDS = 10;

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
    private final FleetUpdates updates;
    private final RoundPeriod period = new RoundPeriod();
    private final long startNanos = System.nanoTime();
    private TrafficReport report = TrafficReport.none();
    private long sequence;
    private int rounds;
    private boolean reportPending;
    private boolean wasServing;
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
        this.state = new ControlState(decoder, unknownAgeNanos(settings));
        this.members = new MemberTable(settings.vm());
        this.gossip = new FleetGossip(control, settings.peersAddress(), this::onPeer);
        this.reading =
                new PlatformReading(
                        control,
                        store,
                        settings,
                        state,
                        members,
                        this::onChange,
                        this::announceReader);
        this.registration =
                new VmRegistration(control, store, settings, members, reading::onListed);
        this.orders =
                new OrderService(control, store, settings, incarnation, state, members, runners);
        this.updates = new FleetUpdates(state, members, orders, startNanos);
    }

    /**
     * A VM that starts does not know when the weights that it finds were named: perhaps nearly as
     * long ago as older ones may be used.
     */
    private static long unknownAgeNanos(VmSettings settings) {
        long millis = Math.max(0, settings.bounds().weightsMillis() - START_WEIGHTS_MILLIS);
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** The datagrams' service, which the kernel starts before this one. */
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
                });
        control.execute(this::runRounds);
    }

    @Override
    public void stop() {
        control.execute(reading::stop);
    }

    /** From now on this VM is not named to callers and gives no orders. */
    public void beginStop() {
        stopping = true;
        control.execute(this::guardedRound);
    }

    /** Shows what is known of the platform, and how long its calls have been unanswered. */
    public void addMetrics(RouterMetrics metrics) {
        metrics.gauge(
                "configuration_version",
                () -> state.configuration().map(RoutingConfiguration::version).orElse(0L));
        metrics.gauge("vms_heard", () -> members.live(System.nanoTime()).size());
        for (String kind : state.kinds()) {
            metrics.gauge("platform_revision_" + kind, () -> state.mirror(kind).revision());
            metrics.gauge(
                    "platform_unanswered_millis_" + kind, () -> reading.unansweredMillis(kind));
        }
    }

    /** Whether this VM takes callers. */
    public boolean isServing() {
        return !stopping && state.isComplete();
    }

    /** Where callers may connect: the VMs that are heard and take callers. */
    public List<FrontAddress> frontAddresses() {
        List<FrontAddress> fronts = new ArrayList<>();
        if (isServing()) {
            fronts.add(new FrontAddress(settings.callersAddress(), settings.availabilityZone()));
        }
        for (Member member : members.live(System.nanoTime())) {
            VmState peer = member.state();
            if (peer.getServing() && !peer.getStopping()) {
                fronts.add(new FrontAddress(peer.getCallersAddress(), peer.getAvailabilityZone()));
            }
        }
        return fronts;
    }

    /**
     * Where callers of one VM connect.
     *
     * @param address IP:PORT
     * @param availabilityZone of the VM
     */
    public record FrontAddress(String address, String availabilityZone) {}

    /** The answer to a peer that reads the platform's objects here. */
    public CompletableFuture<SmallResponse> changesResponse(QueryStringDecoder query) {
        return reading.answer(query);
    }

    private void onChange(String kind) {
        state.onChange(kind);
        orders.onChange(kind);
        orders.round();
        updateTraffic();
    }

    private void runRounds() {
        guardedRound();
        control.schedule(this::runRounds, period.millis(fleetSize()), TimeUnit.MILLISECONDS);
    }

    private void guardedRound() {
        try {
            round();
        } catch (RuntimeException fault) {
            EventLog.warn(LogEvent.INTERNAL_ERROR, "in a round of the control thread", fault);
        }
    }

    private void round() {
        rounds++;
        if (reportPending) {
            // The traffic thread is behind; peers must not take this VM for dead.
            tellPeers();
        }
        reportPending = true;
        traffic.execute(
                () -> {
                    TrafficReport read = TrafficReport.of(trafficState);
                    control.execute(() -> takeReport(read));
                });
        state.endpointList().expire(System.nanoTime());
        orders.round();
        reading.round(rounds);
        if (rounds % LIST_ROUNDS == 0 && members.live(System.nanoTime()).isEmpty()) {
            registration.list();
        }
        updateTraffic();
        logServing();
    }

    /**
     * Tells all VMs what was admitted of teams that are near their limit, and sent to endpoints
     * that have named one. The failure this prevents: in a large fleet a VM's turn to hear another
     * comes once a second; meanwhile all of them together admit a flood several times over its
     * team's rate.
     */
    private void sendContendedUsage() {
        if (FleetGossip.isSmall(fleetSize())) {
            return;
        }
        List<TeamUse> pressed =
                report.teams().stream()
                        .filter(use -> report.pressed().contains(use.getTeam()))
                        .toList();
        if (pressed.isEmpty() && report.contendedLimits().isEmpty()) {
            return;
        }
        VmState counts =
                VmState.newBuilder()
                        .setVm(settings.vm())
                        .setIncarnation(incarnation)
                        .setSequence(++sequence)
                        .setCountsOnly(true)
                        .addAllTeams(pressed)
                        .addAllLimits(report.contendedLimits())
                        .build();
        gossip.sendToAll(counts, members.addresses());
    }

    private void announceReader() {
        gossip.sendToAll(ownState(), members.addresses());
    }

    private void tellPeers() {
        gossip.send(ownState(), members.addresses());
        sendContendedUsage();
    }

    private void takeReport(TrafficReport read) {
        report = read;
        reportPending = false;
        period.record(read.isQuiet() && orders.underWay().isEmpty());
        tellPeers();
        orders.takeLoad(fleetLoad());
        read.weights().forEach(this::takeWeights);
        read.doubted().forEach(orders::askWeights);
    }

    /** Requests of all VMs at each endpoint, without those that do not answer this VM. */
    private Map<String, Integer> fleetLoad() {
        Map<String, Integer> load = new HashMap<>();
        state.endpoints().keySet().forEach(id -> load.put(id, 0));
        report.endpoints()
                .forEach(use -> load.merge(use.getEndpoint(), use.getRequests(), Integer::sum));
        for (Member member : members.live(System.nanoTime())) {
            member.state()
                    .getEndpointsList()
                    .forEach(use -> load.merge(use.getEndpoint(), use.getRequests(), Integer::sum));
        }
        load.keySet().removeAll(report.suspects());
        return load;
    }

    private void takeWeights(EndpointWeights seen) {
        state.endpointList()
                .recordWeights(
                        seen.getEndpoint(),
                        seen.getBornMillis(),
                        seen.getModel(),
                        seen.getVersion());
    }

    private void logServing() {
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
                        .setStopping(stopping)
                        .setAgeMillis(ageMillis())
                        .setRoundMillis(period.millis(fleetSize()))
                        .setReadsPlatform(reading.isReading())
                        .setPlatformLost(reading.isLost())
                        .addAllTeams(report.teams())
                        .addAllEndpoints(report.endpoints())
                        .addAllReads(report.reads())
                        .addAllLimits(report.limits());
        for (String kind : state.kinds()) {
            builder.addRevisions(
                    KindRevision.newBuilder()
                            .setKind(kind)
                            .setRevision(state.mirror(kind).revision()));
        }
        builder.addAllOrders(orders.underWay());
        introducedAddress().ifPresent(builder::addKnownAddresses);
        state.endpointList()
                .seenWeights()
                .forEach((id, versions) -> addWeights(builder, id, versions));
        return builder.build();
    }

    /**
     * One of the VMs that are heard, another one each time, so that VMs which know a seed only come
     * to know each other. The failure this prevents: the platform is away when VMs start, nobody
     * lists them, and each admits what the others have admitted already.
     */
    private Optional<String> introducedAddress() {
        List<Member> heard = members.live(System.nanoTime());
        if (heard.isEmpty()) {
            return Optional.empty();
        }
        int index = (int) (sequence % heard.size());
        return Optional.of(heard.get(index).state().getPeersAddress());
    }

    private void addWeights(VmState.Builder builder, String id, Map<String, Long> versions) {
        long born = state.endpoints().get(id).bornMillis();
        versions.forEach(
                (model, version) ->
                        builder.addWeights(
                                EndpointWeights.newBuilder()
                                        .setEndpoint(id)
                                        .setBornMillis(born)
                                        .setModel(model)
                                        .setVersion(version)));
    }

    private void onPeer(VmState peer, long nowNanos) {
        Optional<String> known = members.incarnation(peer.getVm());
        if (!members.hear(peer, nowNanos)) {
            return;
        }
        peer.getWeightsList().forEach(this::takeWeights);
        boolean started = !known.equals(Optional.of(peer.getIncarnation()));
        if (started && isServing()) {
            // It need not wait for this VM's turn to learn whom to read the configuration from.
            gossip.sendTo(ownState(), peer.getPeersAddress());
        }
    }

    private void updateTraffic() {
        TrafficUpdate update = updates.next(period.propagationDelayNanos(fleetSize()));
        traffic.execute(() -> trafficState.apply(update));
    }

    private int fleetSize() {
        return members.addresses().size();
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
