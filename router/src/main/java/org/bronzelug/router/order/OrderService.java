package org.bronzelug.router.order;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.bronzelug.api.fleet.v1.OrderUnderWay;
import org.bronzelug.core.order.OrderLease;
import org.bronzelug.core.order.RolloutPlan;
import org.bronzelug.core.order.RolloutTarget;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.control.ControlState;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.traffic.WeightsAges;
import org.bronzelug.router.traffic.WeightsTarget;

/**
 * Rolls out the target versions of weights by ordering runners to load them.
 *
 * <p>All VMs run this service, but one of them at a time gives orders: the holder of the order
 * lease ({@link OrderLease}), an object of the platform that is written conditionally on its
 * revision and contains a fencing token. While any runner is behind its target version, a VM
 * acquires the lease if it is free, renews it, and sends orders to the runners that {@link
 * RolloutPlan} selects, each tracked by a {@link RunnerOrder}. {@link LeaseRenewal} writes the
 * lease.
 *
 * <p>Invariant: a VM sends orders only while it holds the lease and requested its last confirmed
 * renewal less than {@link OrderLease#VALID_MILLIS} ago. Where several VMs could acquire the lease,
 * the previous holder goes first, since it need not wait for the lease to become free. Confined to
 * the control thread.
 */
public final class OrderService {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * From one round to the next, the advances of the wall clock and of the monotonic clock differ
     * by more than this only if the VM was suspended or its wall clock was set.
     */
    private static final long CLOCK_DIFFERENCE_MILLIS = 200;

    private final VmSettings settings;
    private final ControlState state;
    private final Runners runners;
    private final LeaseRenewal lease;
    private final Map<String, RunnerOrder> orders = new HashMap<>();
    private Map<String, Integer> load = Map.of();
    private Set<String> unreachable = Set.of();
    private long rolloutPendingSinceNanos;
    private boolean rolloutPending;
    private long lastRoundNanos;
    private long lastRoundWallMillis;

    public OrderService(
            EventLoop control,
            ObjectStore store,
            VmSettings settings,
            String incarnation,
            ControlState state,
            MemberTable members,
            Runners runners) {
        this.settings = settings;
        this.state = state;
        this.runners = runners;
        this.lease =
                new LeaseRenewal(store, settings, incarnation, state, members, this::giveOrders);
    }

    /** Sends requests to runners; futures complete on the control thread. */
    public interface Runners {
        /** Returns a runner's report, which may be some hundred milliseconds old. */
        CompletableFuture<RunnerReport> report(EndpointEntry runner);

        /**
         * Orders a runner to load weights.
         *
         * @param mayOrder evaluated right before the order is sent; if it returns false, the order
         *     is not sent and the future fails
         */
        CompletableFuture<OrderOutcome> load(
                EndpointEntry runner, LoadOrder order, BooleanSupplier mayOrder);
    }

    /**
     * Records the latest version of the lease, if the kind that has changed is that of the lease.
     */
    public void onChange(String kind) {
        if (kind.equals(ControlState.LEASE_KIND)) {
            lease.onChange();
        }
    }

    /**
     * Sets the number of requests in flight, from all VMs, at each endpoint that responds to this
     * VM.
     */
    public void updateLoad(Map<String, Integer> requests) {
        load = requests;
    }

    /**
     * Sets the endpoints that this VM reaches through other VMs only. It gives them no orders, and
     * leaves the lease to another VM if no other runner is behind: an order must come from the VM
     * that holds the lease.
     */
    public void updateUnreachable(Set<String> endpoints) {
        unreachable = Set.copyOf(endpoints);
    }

    /**
     * Requests a runner's report to find out which weights it has, after the runner rejected a
     * request that expected other weights.
     */
    public void queryWeights(String id) {
        EndpointEntry runner = state.endpoints().get(id);
        if (runner == null) {
            return;
        }
        runners.report(runner)
                .whenComplete(
                        (report, failure) -> {
                            if (failure != null) {
                                EventLog.info(
                                        LogEvent.ORDER_FAILED,
                                        "runner=" + id + " asked: " + failure.getMessage());
                                return;
                            }
                            report.weights()
                                    .forEach(
                                            (model, version) ->
                                                    recordObservedWeights(runner, model, version));
                        });
    }

    private void recordObservedWeights(EndpointEntry runner, String model, long version) {
        state.endpointList().recordWeights(runner.id(), runner.bornMillis(), model, version);
    }

    /** Returns the ids of the endpoints for which an order of this VM is in progress. */
    public Set<String> orderedEndpoints() {
        return orders.keySet();
    }

    /** Returns the orders in progress, for the state update to peers. */
    public List<OrderUnderWay> ordersInProgress() {
        List<OrderUnderWay> list = new ArrayList<>();
        long nowNanos = System.nanoTime();
        orders.forEach(
                (id, order) ->
                        list.add(
                                OrderUnderWay.newBuilder()
                                        .setEndpoint(id)
                                        .setAgeMillis((int) order.ageMillis(nowNanos))
                                        .build()));
        return list;
    }

    /**
     * Runs one round: acquires or renews the lease if a runner is behind, and gives the next
     * orders.
     */
    public void round() {
        long nowNanos = System.nanoTime();
        dropLeaseIfSuspended(nowNanos);
        List<Rollout> rollouts = rollouts();
        orders.keySet().removeAll(unreachable);
        orders.values().removeIf(order -> order.isOver(state.endpoints()));
        boolean behind = rollouts.stream().anyMatch(Rollout::isBehind);
        if (!behind) {
            rolloutPending = false;
            return;
        }
        if (!rolloutPending) {
            rolloutPending = true;
            rolloutPendingSinceNanos = nowNanos;
        }
        lease.renewIfDue(() -> isOrderDue(rollouts, nowNanos), rolloutPendingSinceNanos, nowNanos);
        giveOrders();
    }

    private boolean isOrderDue(List<Rollout> rollouts, long nowNanos) {
        return orders.values().stream().anyMatch(RunnerOrder::needsLease)
                || rollouts.stream().anyMatch(rollout -> !nextTargets(rollout, nowNanos).isEmpty());
    }

    /** Gives the next orders while the lease is valid, and follows those already given. */
    private void giveOrders() {
        if (lease.mayOrder()) {
            long nowNanos = System.nanoTime();
            rollouts().forEach(rollout -> addOrders(rollout, nowNanos));
        }
        if (lease.isHeld()) {
            orders.values().forEach(this::advance);
        }
    }

    private void advance(RunnerOrder order) {
        order.advance(runners, this::loadOrder, lease::mayOrder, this::recordTargetWeights);
    }

    /**
     * Treats the lease as lost, until it is renewed, if the wall clock and the monotonic clock have
     * advanced by different amounts. In that case the VM may have been suspended, which can stop
     * the monotonic clock alone, so an expired lease would still look valid by that clock.
     */
    private void dropLeaseIfSuspended(long nowNanos) {
        long wallMillis = System.currentTimeMillis();
        long monotonicMillis = (nowNanos - lastRoundNanos) / NANOS_PER_MILLI;
        boolean suspended =
                Math.abs(wallMillis - lastRoundWallMillis - monotonicMillis)
                        > CLOCK_DIFFERENCE_MILLIS;
        if (suspended) {
            lease.drop();
        }
        lastRoundNanos = nowNanos;
        lastRoundWallMillis = wallMillis;
    }

    private List<Rollout> rollouts() {
        List<Rollout> rollouts = new ArrayList<>();
        if (state.configuration().isEmpty()) {
            return rollouts;
        }
        for (WeightsTarget target : state.weights().values()) {
            List<EndpointEntry> modelRunners = new ArrayList<>();
            for (EndpointEntry entry : state.endpoints().values()) {
                boolean runsModels =
                        state.configuration()
                                .get()
                                .pool(entry.pool())
                                .flatMap(EndpointPool::engine)
                                .isPresent();
                if (runsModels
                        && !unreachable.contains(entry.id())
                        && !entry.draining()
                        && entry.weights().containsKey(target.model())) {
                    modelRunners.add(entry);
                }
            }
            rollouts.add(new Rollout(target, modelRunners));
        }
        return rollouts;
    }

    /** Returns the runners to order now. */
    private List<RolloutTarget> nextTargets(Rollout rollout, long nowNanos) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (EndpointEntry entry : rollout.runners) {
            targets.add(
                    new RolloutTarget(
                            entry.id(),
                            entry.weights().get(rollout.target.model()),
                            replacedMillis(entry, rollout.target, nowNanos),
                            load.getOrDefault(entry.id(), 0),
                            load.containsKey(entry.id()),
                            orders.containsKey(entry.id())));
        }
        return RolloutPlan.next(
                targets,
                rollout.target.version(),
                WeightsAges.usableMillis(settings.bounds().weightsMillis()));
    }

    private void addOrders(Rollout rollout, long nowNanos) {
        for (RolloutTarget target : nextTargets(rollout, nowNanos)) {
            EndpointEntry runner = state.endpoints().get(target.endpoint());
            orders.put(target.endpoint(), new RunnerOrder(runner, rollout.target));
        }
    }

    private static long replacedMillis(EndpointEntry entry, WeightsTarget target, long nowNanos) {
        OptionalLong since =
                target.replacedSinceNanos(entry.weights().getOrDefault(target.model(), 0L));
        return since.isPresent() ? (nowNanos - since.getAsLong()) / NANOS_PER_MILLI : 0;
    }

    /** Returns the order to send; empty if the lease has expired in the meantime. */
    private Optional<LoadOrder> loadOrder(WeightsTarget target, long expectedSequence) {
        return lease.mayOrder()
                ? Optional.of(
                        new LoadOrder(
                                target.model(),
                                target.version(),
                                settings.vm(),
                                lease.fence(),
                                expectedSequence))
                : Optional.empty();
    }

    private void recordTargetWeights(EndpointEntry runner, WeightsTarget target, long version) {
        recordObservedWeights(runner, target.model(), version);
    }

    /** The runners of one model and the target version of its weights. */
    private record Rollout(WeightsTarget target, List<EndpointEntry> runners) {
        private boolean isBehind() {
            return runners.stream()
                    .anyMatch(
                            entry ->
                                    entry.weights().getOrDefault(target.model(), 0L)
                                            < target.version());
        }
    }
}
