package org.bronzelug.daemon.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.OrderObject;
import org.bronzelug.api.PoolKind;
import org.bronzelug.api.PoolObject;
import org.bronzelug.core.claim.ExclusiveClaim;
import org.bronzelug.core.claim.LoadPlan;
import org.bronzelug.daemon.configuration.Catalog;
import org.bronzelug.daemon.configuration.ObjectKeys;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.PlatformWatch;
import org.bronzelug.daemon.runner.Endpoint;
import org.bronzelug.daemon.runner.EndpointDirectory;
import org.bronzelug.daemon.runner.RunnerClient;
import org.bronzelug.daemon.runner.RunnerException;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Orders a pool's runners to load the weights that the configuration names.
 *
 * <p>One VM holds a pool's orders by a claim; the claim's version is the fencing number. Runners
 * that ignore fencing are safe as well: the next holder waits until the former one has surely
 * stopped. Checks run on the control thread, orders on threads of their own.
 */
@Singleton
public final class OrderKeeper implements Service {
    /** Under which the kernel knows this service. */
    public static final String NAME = "orders";

    private static final long CHECK_MILLIS = 200;

    private final ControlThread control;
    private final ControlState state;
    private final PlatformWatch watch;
    private final ClaimAcquirer taker;
    private final EndpointDirectory directory;
    private final RunnerClient client;
    private final Map<String, ExclusiveClaim> claims = new HashMap<>();
    private final Set<String> busy = ConcurrentHashMap.newKeySet();
    private final Set<String> loading = ConcurrentHashMap.newKeySet();

    @Inject
    public OrderKeeper(
            ControlThread control,
            ControlState state,
            PlatformWatch watch,
            ClaimAcquirer taker,
            EndpointDirectory directory,
            RunnerClient client) {
        this.control = control;
        this.state = state;
        this.watch = watch;
        this.taker = taker;
        this.directory = directory;
        this.client = client;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        control.every(CHECK_MILLIS, this::check);
    }

    private void check() {
        for (PoolObject pool : state.catalog().pools()) {
            boolean models = pool.getKind() == PoolKind.MODEL;
            if (models && !outdated(pool).isEmpty() && !state.isDraining()) {
                checkPool(pool, System.nanoTime());
            }
        }
    }

    private void checkPool(PoolObject pool, long now) {
        ExclusiveClaim claim = claim(pool.getPool());
        Optional<Catalog.Claim> present = state.catalog().order(pool.getPool());
        present.ifPresent(held -> claim.observe(held.version(), held.holder()));
        if (claim.mayUse(now, state.freshness().isFresh(now))) {
            giveOrders(pool, claim.version());
            return;
        }
        boolean unheld = present.filter(held -> !state.isDead(held.holder(), now)).isEmpty();
        boolean first = state.isFirstChoice(ObjectKeys.order(pool.getPool()), now);
        boolean take = claim.isUnconfirmed() || unheld && first && watch.isReachable();
        if (take && state.freshness().isFresh(now) && busy.add(pool.getPool())) {
            Thread.ofVirtual().name(NAME).start(() -> take(pool.getPool(), present));
        }
    }

    private ExclusiveClaim claim(String pool) {
        return claims.computeIfAbsent(
                pool, ignored -> new ExclusiveClaim(state.self(), state.freshness().limitNanos()));
    }

    private Set<Endpoint> outdated(PoolObject pool) {
        Set<Endpoint> outdated = new HashSet<>();
        for (Endpoint endpoint : directory.usable(pool.getPool())) {
            if (endpoint.report().weightsVersion() != pool.getWeightsVersion()) {
                outdated.add(endpoint);
            }
        }
        return outdated;
    }

    private void giveOrders(PoolObject pool, long fencing) {
        Set<String> reported = new HashSet<>();
        Map<String, Endpoint> byName = new HashMap<>();
        for (Endpoint endpoint : directory.usable(pool.getPool())) {
            byName.put(endpoint.name(), endpoint);
            if (endpoint.report().loading() || loading.contains(endpoint.name())) {
                reported.add(endpoint.name());
            }
        }
        Set<String> outdated = new HashSet<>();
        outdated(pool).forEach(endpoint -> outdated.add(endpoint.name()));
        for (String name : LoadPlan.next(outdated, reported, pool.getConcurrentLoads())) {
            loading.add(name);
            Endpoint endpoint = byName.get(name);
            Thread.ofVirtual().start(() -> order(endpoint, fencing, pool.getWeightsVersion()));
        }
    }

    private void order(Endpoint endpoint, long fencing, long weightsVersion) {
        try {
            EventLog.info(
                    LogEvent.ORDER_GIVEN,
                    "endpoint "
                            + endpoint.name()
                            + ", weights "
                            + weightsVersion
                            + ", fencing "
                            + fencing);
            client.order(endpoint, fencing, weightsVersion);
            directory.report(endpoint, client.state(endpoint));
        } catch (RunnerException failed) {
            EventLog.warn(LogEvent.ORDER_FAILED, String.valueOf(failed.getMessage()));
        } finally {
            loading.remove(endpoint.name());
        }
    }

    private void take(String pool, Optional<Catalog.Claim> present) {
        String mark = UUID.randomUUID().toString();
        OrderObject order =
                OrderObject.newBuilder()
                        .setPool(pool)
                        .setVm(state.self().vm())
                        .setIncarnation(state.self().incarnation())
                        .setMark(mark)
                        .build();
        try {
            taker.take(
                    new ClaimAcquirer.Attempt(
                            ObjectKeys.order(pool),
                            present,
                            order.toByteArray(),
                            value -> hasMark(value, mark),
                            version -> claim(pool).take(version, present.isPresent()),
                            version -> confirm(pool, version)));
        } finally {
            busy.remove(pool);
        }
    }

    private void confirm(String pool, long version) {
        claim(pool).confirm(version, System.nanoTime());
        EventLog.info(LogEvent.ORDER_TAKEN, "pool " + pool + ", fencing " + version);
    }

    private static boolean hasMark(byte[] value, String mark) {
        try {
            return OrderObject.parseFrom(value).getMark().equals(mark);
        } catch (InvalidProtocolBufferException unreadable) {
            return false;
        }
    }

    @Override
    public void stop() {
        // The checks end with the control thread.
    }
}
