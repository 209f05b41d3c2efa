package org.bronzelug.router.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.api.fleet.v1.RolloutUse;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.core.rollout.RolloutOrder;
import org.bronzelug.core.rollout.RolloutPolicy;
import org.bronzelug.core.rollout.RolloutStage;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.control.ControlState;
import org.bronzelug.router.control.DecodedItems;
import org.bronzelug.router.control.ObjectDecoder;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.traffic.RolloutView;

/**
 * Follows the rollouts of software versions that operators order, and writes to the platform how
 * each of them goes.
 *
 * <p>Every VM determines the stage by itself ({@link RolloutPolicy}) from the order and from what
 * all VMs report of the responses, and treats its own requests accordingly at once. Writing needs
 * no lease: the write is conditional on the order's revision, so the first VM that writes an end
 * state decides, and the others follow it. VMs write in the order of their rank, each after the
 * time that the ones before it had, so that usually only one write is made.
 *
 * <p>Invariant: this VM writes no stage for an order that it knows to have ended. Confined to the
 * control thread.
 */
public final class RolloutService {
    /** Time that each VM of a higher rank has to write, before this one does. */
    private static final long WAIT_PER_RANK_MILLIS = 300;

    /** Time between two attempts to write while the platform does not accept the write. */
    private static final long RETRY_NANOS = 500_000_000L;

    /** Time for the configuration and the endpoints that an order refers to to become known. */
    private static final long KNOWN_MILLIS = 1_000;

    /**
     * Time after its success for which the target version is preferred: the endpoints of the
     * version before are stopped without notice, and their entries may remain listed.
     */
    private static final long SUCCEEDED_MILLIS = 10_000;

    private final ObjectStore store;
    private final ObjectDecoder decoder;
    private final VmSettings settings;
    private final String incarnation;
    private final ControlState state;
    private final MemberTable members;
    private final Map<String, RolloutProgress> rollouts = new HashMap<>();
    private final DecodedItems<RolloutOrder> decodedOrders;
    private final Map<String, RolloutOrder> orders = new HashMap<>();
    private boolean writeInFlight;
    private long lastWriteNanos = System.nanoTime() - RETRY_NANOS;

    public RolloutService(
            ObjectStore store,
            ObjectDecoder decoder,
            VmSettings settings,
            String incarnation,
            ControlState state,
            MemberTable members) {
        this.store = store;
        this.decoder = decoder;
        this.decodedOrders = new DecodedItems<>(decoder::rollout);
        this.settings = settings;
        this.incarnation = incarnation;
        this.state = state;
        this.members = members;
    }

    /** Records the orders if the kind that has changed is theirs. */
    public void onChange(String kind) {
        if (!decoder.rolloutKind().equals(Optional.of(kind))) {
            return;
        }
        orders.clear();
        decodedOrders
                .update(state.mirror(kind).items())
                .forEach(order -> orders.put(order.pool(), order));
        long nowNanos = System.nanoTime();
        rollouts.keySet().removeIf(pool -> isReplaced(rollouts.get(pool).order()));
        for (RolloutOrder order : orders.values()) {
            if (!rollouts.containsKey(order.pool())) {
                EventLog.info(LogEvent.ROLLOUT_ORDERED, order.toString());
            }
            rollouts.computeIfAbsent(order.pool(), pool -> new RolloutProgress(order, nowNanos))
                    .update(order, nowNanos);
        }
    }

    /** Returns whether an order was withdrawn or replaced by one with another target. */
    private boolean isReplaced(RolloutOrder known) {
        RolloutOrder listed = orders.get(known.pool());
        return listed == null || !listed.target().equals(known.target());
    }

    /**
     * Runs one round.
     *
     * @param ownUses what this VM has seen
     * @param requests requests in flight at each endpoint, from all VMs
     */
    public void round(List<RolloutUse> ownUses, Map<String, Integer> requests) {
        long nowNanos = System.nanoTime();
        ownUses.forEach(use -> record(incarnation, use, nowNanos));
        for (Member member : members.all()) {
            member.state()
                    .getRolloutsList()
                    .forEach(
                            use ->
                                    record(
                                            member.state().getIncarnation(),
                                            use,
                                            member.receivedNanos()));
        }
        rollouts.values().forEach(rollout -> advance(rollout, requests, nowNanos));
    }

    private void record(String from, RolloutUse use, long receivedNanos) {
        RolloutProgress rollout = rollouts.get(use.getPool());
        if (rollout != null && rollout.order().target().equals(use.getTarget())) {
            rollout.record(from, use, receivedNanos);
        }
    }

    private void advance(RolloutProgress rollout, Map<String, Integer> requests, long nowNanos) {
        RolloutStage before = rollout.stage();
        int targetEndpoints = endpoints(rollout.order(), true).size();
        if (before.isTerminal() && isWritten(rollout)) {
            return;
        }
        rollout.recordCurrentEndpoints(endpoints(rollout.order(), false).size());
        if (!before.isTerminal() && rollout.ageMillis(nowNanos) >= KNOWN_MILLIS) {
            endIfInvalid(rollout, targetEndpoints, nowNanos);
        }
        rollout.advance(targetEndpoints, nowNanos);
        if (rollout.stage() == RolloutStage.SHIFTING) {
            endIfShifted(rollout, targetEndpoints, requests, nowNanos);
        }
        if (rollout.stage() != before) {
            EventLog.info(LogEvent.ROLLOUT_STAGE, rollout.describe(targetEndpoints, nowNanos));
        }
        writeIfDue(rollout, nowNanos);
    }

    /** Ends a rollout that can't be carried out, or that has nothing left to do. */
    private void endIfInvalid(RolloutProgress rollout, int targetEndpoints, long nowNanos) {
        RolloutOrder order = rollout.order();
        boolean knownPool =
                state.configuration()
                        .map(configuration -> configuration.pool(order.pool()).isPresent())
                        .orElse(true);
        if (!knownPool || order.durationMillis() <= 0) {
            EventLog.warn(
                    LogEvent.ROLLOUT_INVALID,
                    "order=" + order + (knownPool ? " time limit passed" : " unknown pool"));
            rollout.enter(RolloutStage.ROLLED_BACK, nowNanos);
        } else if (rollout.isTargetAlone(targetEndpoints)) {
            rollout.enter(RolloutStage.SUCCEEDED, nowNanos);
        }
    }

    private void endIfShifted(
            RolloutProgress rollout,
            int targetEndpoints,
            Map<String, Integer> requests,
            long nowNanos) {
        int currentRequests =
                endpoints(rollout.order(), false).stream()
                        .mapToInt(entry -> requests.getOrDefault(entry.id(), 0))
                        .sum();
        boolean ended =
                RolloutPolicy.mayEnd(
                        rollout.facts(targetEndpoints, nowNanos),
                        rollout.stageMillis(nowNanos),
                        currentRequests);
        if (ended) {
            rollout.enter(RolloutStage.SUCCEEDED, nowNanos);
        }
    }

    /** Returns the pool's endpoints of the target version, or of all others. */
    private List<EndpointEntry> endpoints(RolloutOrder order, boolean target) {
        return state.endpoints().values().stream()
                .filter(entry -> entry.pool().equals(order.pool()) && !entry.draining())
                .filter(entry -> entry.softwareVersion().equals(order.target()) == target)
                .toList();
    }

    private static boolean isWritten(RolloutProgress rollout) {
        return rollout.order().writtenStage().filter(RolloutStage::isTerminal).isPresent();
    }

    private void writeIfDue(RolloutProgress rollout, long nowNanos) {
        boolean running = !rollout.stage().isTerminal();
        boolean written = running ? rollout.order().writtenStage().isPresent() : isWritten(rollout);
        boolean pausing = writeInFlight || nowNanos - lastWriteNanos < RETRY_NANOS;
        if (written || pausing || rollout.stageMillis(nowNanos) < rankWaitMillis(rollout)) {
            return;
        }
        RolloutOrder order = rollout.order();
        RolloutStage stage = rollout.stage();
        writeInFlight = true;
        lastWriteNanos = nowNanos;
        store.writeStatus(
                        decoder.rolloutKind().orElseThrow(),
                        order.name(),
                        order.revision(),
                        decoder.rolloutStatus(stage, order.target()))
                .whenComplete(
                        (item, failure) -> {
                            writeInFlight = false;
                            String outcome = failure == null ? "written" : failure.getMessage();
                            EventLog.info(
                                    LogEvent.ROLLOUT_WRITTEN,
                                    ("pool=" + order.pool())
                                            + (" target=" + order.target())
                                            + (" stage=" + stage)
                                            + (" revision=" + order.revision())
                                            + (" outcome=\"" + outcome + "\""));
                        });
    }

    private long rankWaitMillis(RolloutProgress rollout) {
        List<String> names = new ArrayList<>();
        names.add(settings.vm());
        members.live(System.nanoTime()).forEach(member -> names.add(member.state().getVm()));
        int rank = Rendezvous.order(rollout.order().pool(), names).indexOf(settings.vm());
        return rank * WAIT_PER_RANK_MILLIS;
    }

    /** Returns the rollouts that concern requests now, by pool. */
    public Map<String, RolloutView> views() {
        long nowNanos = System.nanoTime();
        int reachable = 1 + members.live(nowNanos).size();
        boolean inTouch = 2 * reachable > members.addresses().size();
        Map<String, RolloutView> views = new HashMap<>();
        for (RolloutProgress rollout : rollouts.values()) {
            boolean over =
                    rollout.stage() == RolloutStage.SUCCEEDED
                            && rollout.stageMillis(nowNanos) > SUCCEEDED_MILLIS;
            if (!over) {
                views.put(rollout.order().pool(), rollout.view(inTouch, nowNanos));
            }
        }
        return views;
    }
}
