package org.bronzelug.router.order;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.api.fleet.v1.OrderUnderWay;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.core.order.OrderLease;
import org.bronzelug.core.order.RolloutPlan;
import org.bronzelug.core.order.RolloutTarget;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.control.ControlState;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;
import org.bronzelug.router.traffic.WeightsTarget;

/**
 * Brings the runners to the newest weights.
 *
 * <p>Invariant: orders are sent only under a lease that this VM renewed less than a second ago
 * ({@link OrderLease}); the VM that gave the last orders goes first for the next ones, so that no
 * wait is needed between two holders. Confined to the control thread.
 */
public final class OrderService {
    private static final String LEASE_NAME = "weights";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Renewed when so much of its validity has gone. */
    private static final long RENEW_MILLIS = OrderLease.VALID_MILLIS / 2;

    /** How long each further VM waits for the ones before it to begin. */
    private static final long RANK_MILLIS = 300;

    /** The VM that held the lease last has this long to begin, where it is heard. */
    private static final long FORMER_HOLDER_MILLIS = 700;

    /** Wall clock and steady clock differ by more than this only if the VM slept or was set. */
    private static final long SLEEP_MILLIS = 200;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ObjectStore store;
    private final VmSettings settings;
    private final String incarnation;
    private final ControlState state;
    private final MemberTable members;
    private final Runners runners;
    private final Map<String, RunnerOrder> orders = new HashMap<>();
    private Map<String, Integer> load = Map.of();
    private Optional<OrderLease> lease = Optional.empty();
    private long renewedSentNanos = Long.MIN_VALUE;
    private long pendingSinceNanos;
    private boolean pending;
    private boolean asking;
    private long lastNanos;
    private long lastWallMillis;

    public OrderService(
            EventLoop control,
            ObjectStore store,
            VmSettings settings,
            String incarnation,
            ControlState state,
            MemberTable members,
            Runners runners) {
        this.store = store;
        this.settings = settings;
        this.incarnation = incarnation;
        this.state = state;
        this.members = members;
        this.runners = runners;
    }

    /** How runners are asked and ordered; futures complete on the control thread. */
    public interface Runners {
        /** What a runner says of itself, some hundred milliseconds old. */
        CompletableFuture<RunnerReport> report(EndpointEntry runner);

        /** Orders a runner to load weights. */
        CompletableFuture<OrderOutcome> load(EndpointEntry runner, LoadOrder order);
    }

    /** A kind's objects have changed. */
    public void onChange(String kind) {
        if (kind.equals(ControlState.LEASE_KIND)) {
            state.mirror(kind).items().stream()
                    .filter(item -> item.name().equals(LEASE_NAME))
                    .findFirst()
                    .ifPresent(this::takeLease);
        }
    }

    private void takeLease(StoredItem item) {
        if (lease.isPresent() && lease.get().revision() >= item.revision()) {
            return;
        }
        lease = Optional.of(readLease(item));
    }

    private static OrderLease readLease(StoredItem item) {
        try {
            JsonNode content = JSON.readTree(item.content());
            return new OrderLease(
                    content.path("holder").asText(""),
                    content.path("incarnation").asText(""),
                    content.path("fence").asLong(0),
                    item.revision(),
                    System.nanoTime());
        } catch (IOException malformed) {
            EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, "lease " + malformed.getMessage());
            return new OrderLease("", "", 0, item.revision(), System.nanoTime());
        }
    }

    /** Takes in the requests at each endpoint that answers this VM. */
    public void updateLoad(Map<String, Integer> requests) {
        load = requests;
    }

    /** Asks a runner which weights it has, since it refused those believed of it. */
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
                                    .forEach((model, version) -> seen(runner, model, version));
                        });
    }

    private void seen(EndpointEntry runner, String model, long version) {
        state.endpointList().recordWeights(runner.id(), runner.bornMillis(), model, version);
    }

    /** Ids of endpoints for which an order of this VM is under way. */
    public Set<String> orderedEndpoints() {
        return orders.keySet();
    }

    /** The orders under way, for the peers. */
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

    /** One step: decides whether to take the lease, and gives the next orders. */
    public void round() {
        long nowNanos = System.nanoTime();
        loseLeaseIfSlept(nowNanos);
        List<Rollout> rollouts = rollouts();
        orders.values().removeIf(order -> order.isOver(state.endpoints()));
        boolean behind = rollouts.stream().anyMatch(Rollout::isBehind);
        if (!behind) {
            pending = false;
            return;
        }
        if (!pending) {
            pending = true;
            pendingSinceNanos = nowNanos;
        }
        if (!ownsLease() || nowNanos - renewedSentNanos > RENEW_MILLIS * NANOS_PER_MILLI) {
            askForLease(nowNanos);
        }
        if (ownsLease() && OrderLease.mayOrder(renewedSentNanos, nowNanos)) {
            rollouts.forEach(this::advance);
        }
    }

    /**
     * A VM that was suspended believes by its steady clock that its lease is still young. The wall
     * clock went on meanwhile; where both differ, the lease counts as lost until it is renewed.
     */
    private void loseLeaseIfSlept(long nowNanos) {
        long wallMillis = System.currentTimeMillis();
        long steady = (nowNanos - lastNanos) / NANOS_PER_MILLI;
        boolean slept = Math.abs(wallMillis - lastWallMillis - steady) > SLEEP_MILLIS;
        if (slept) {
            renewedSentNanos = Long.MIN_VALUE;
        }
        lastNanos = nowNanos;
        lastWallMillis = wallMillis;
    }

    private boolean ownsLease() {
        return renewedSentNanos != Long.MIN_VALUE
                && lease.filter(held -> held.incarnation().equals(incarnation)).isPresent();
    }

    private void askForLease(long nowNanos) {
        if (asking || !state.mirror(ControlState.LEASE_KIND).isKnown()) {
            return;
        }
        boolean free =
                OrderLease.isFree(lease, settings.vm(), settings.bounds().leaseMillis(), nowNanos);
        long waitedMillis = (nowNanos - pendingSinceNanos) / NANOS_PER_MILLI;
        if (!free || waitedMillis < patienceMillis()) {
            return;
        }
        asking = true;
        long sentNanos = nowNanos;
        boolean own = lease.filter(held -> held.incarnation().equals(incarnation)).isPresent();
        long fence = own ? lease.get().fence() : lease.map(OrderLease::revision).orElse(0L) + 1;
        byte[] content =
                ("{\"holder\":\""
                                + settings.vm()
                                + "\",\"incarnation\":\""
                                + incarnation
                                + "\",\"fence\":"
                                + fence
                                + ",\"renewal\":"
                                + sentNanos
                                + "}")
                        .getBytes(StandardCharsets.UTF_8);
        CompletableFuture<StoredItem> written =
                lease.isPresent()
                        ? store.replace(
                                ControlState.LEASE_KIND,
                                new StoredItem(LEASE_NAME, lease.get().revision(), content))
                        : store.create(ControlState.LEASE_KIND, LEASE_NAME, content);
        written.whenComplete(
                (item, failure) -> {
                    asking = false;
                    if (failure != null) {
                        EventLog.info(
                                LogEvent.ORDER_LEASE_NOT_TAKEN,
                                "cause=\"" + failure.getMessage() + "\"");
                        return;
                    }
                    takeLease(item);
                    renewedSentNanos = sentNanos;
                    if (!own) {
                        EventLog.info(LogEvent.ORDER_TAKEN, "lease=" + lease);
                    }
                });
    }

    /** How long this VM leaves the lease to those that should take it first. */
    private long patienceMillis() {
        String former = lease.map(OrderLease::holder).orElse("");
        if (former.equals(settings.vm())) {
            return 0;
        }
        List<String> names = new ArrayList<>();
        names.add(settings.vm());
        boolean formerHeard = false;
        for (Member member : members.live(System.nanoTime())) {
            names.add(member.state().getVm());
            formerHeard |= member.state().getVm().equals(former);
        }
        int rank = Rendezvous.order(LEASE_NAME, names).indexOf(settings.vm());
        return (formerHeard ? FORMER_HOLDER_MILLIS : 0) + rank * RANK_MILLIS;
    }

    private List<Rollout> rollouts() {
        List<Rollout> rollouts = new ArrayList<>();
        if (state.configuration().isEmpty()) {
            return rollouts;
        }
        for (WeightsTarget target : state.weights().values()) {
            List<EndpointEntry> holding = new ArrayList<>();
            for (EndpointEntry entry : state.endpoints().values()) {
                boolean engine =
                        state.configuration()
                                .get()
                                .pool(entry.pool())
                                .flatMap(EndpointPool::engine)
                                .isPresent();
                if (engine && !entry.draining() && entry.weights().containsKey(target.model())) {
                    holding.add(entry);
                }
            }
            rollouts.add(new Rollout(target, holding));
        }
        return rollouts;
    }

    private void advance(Rollout rollout) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (EndpointEntry entry : rollout.runners) {
            targets.add(
                    new RolloutTarget(
                            entry.id(),
                            entry.weights().get(rollout.target.model()),
                            load.getOrDefault(entry.id(), 0),
                            load.containsKey(entry.id()),
                            orders.containsKey(entry.id())));
        }
        List<RolloutTarget> next = RolloutPlan.next(targets, rollout.target.version());
        for (RolloutTarget target : next) {
            EndpointEntry runner = state.endpoints().get(target.endpoint());
            orders.put(target.endpoint(), new RunnerOrder(runner, rollout.target));
        }
        for (RunnerOrder order : orders.values()) {
            order.advance(runners, this::loadOrder, this::learned);
        }
    }

    /** The order as it may be sent now; empty where the lease has run out meanwhile. */
    private Optional<LoadOrder> loadOrder(WeightsTarget target, long expectedSequence) {
        boolean valid = ownsLease() && OrderLease.mayOrder(renewedSentNanos, System.nanoTime());
        return valid
                ? Optional.of(
                        new LoadOrder(
                                target.model(),
                                target.version(),
                                settings.vm(),
                                lease.get().fence(),
                                expectedSequence))
                : Optional.empty();
    }

    private void learned(EndpointEntry runner, WeightsTarget target, long version) {
        seen(runner, target.model(), version);
    }

    /** The runners of one model and what they are to have. */
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
