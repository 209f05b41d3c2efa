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
 * Orders the runners of each model pool to load the target version of the weights, which the
 * configuration publishes.
 *
 * <p>One VM at a time orders the runners of a pool: the holder of the pool's claim, whose version
 * is the fencing token. Runners that ignore the fencing token are safe as well, because the next
 * holder waits until the previous one has certainly stopped. Checks run on the control thread,
 * orders on threads of their own.
 */
@Singleton
public final class LoadOrderService implements Service {
    /** The name under which this service is registered with the kernel. */
    public static final String NAME = "orders";

    private static final long CHECK_INTERVAL_MILLIS = 200;

    private final ControlThread control;
    private final ControlState state;
    private final PlatformWatch platformWatch;
    private final ClaimAcquirer claimAcquirer;
    private final EndpointDirectory directory;
    private final RunnerClient client;
    private final Map<String, ExclusiveClaim> claims = new HashMap<>();
    private final Set<String> acquiring = ConcurrentHashMap.newKeySet();
    private final Set<String> orderedEndpoints = ConcurrentHashMap.newKeySet();

    @Inject
    public LoadOrderService(
            ControlThread control,
            ControlState state,
            PlatformWatch platformWatch,
            ClaimAcquirer claimAcquirer,
            EndpointDirectory directory,
            RunnerClient client) {
        this.control = control;
        this.state = state;
        this.platformWatch = platformWatch;
        this.claimAcquirer = claimAcquirer;
        this.directory = directory;
        this.client = client;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        control.scheduleWithFixedDelay(CHECK_INTERVAL_MILLIS, this::check);
    }

    private void check() {
        for (PoolObject pool : state.catalog().pools()) {
            boolean servesModel = pool.getKind() == PoolKind.MODEL;
            if (servesModel && !outdatedEndpoints(pool).isEmpty() && !state.isDraining()) {
                checkPool(pool, System.nanoTime());
            }
        }
    }

    private void checkPool(PoolObject pool, long now) {
        ExclusiveClaim claim = claim(pool.getPool());
        Optional<Catalog.Claim> current = state.catalog().order(pool.getPool());
        current.ifPresent(known -> claim.observe(known.version(), known.holder()));
        if (claim.mayUse(now, state.freshness().isFresh(now))) {
            orderOutdatedEndpoints(pool, claim.version());
            return;
        }
        boolean vacant = current.filter(known -> !state.isDead(known.holder(), now)).isEmpty();
        boolean firstChoice = state.isFirstChoice(ObjectKeys.order(pool.getPool()), now);
        boolean acquire =
                claim.isUnconfirmed()
                        || vacant && firstChoice && platformWatch.isPlatformReachable();
        if (acquire && state.freshness().isFresh(now) && acquiring.add(pool.getPool())) {
            Thread.ofVirtual().name(NAME).start(() -> acquire(pool.getPool(), current));
        }
    }

    private ExclusiveClaim claim(String pool) {
        return claims.computeIfAbsent(
                pool,
                ignored ->
                        new ExclusiveClaim(state.self(), state.freshness().stalenessBoundNanos()));
    }

    private Set<Endpoint> outdatedEndpoints(PoolObject pool) {
        Set<Endpoint> outdated = new HashSet<>();
        for (Endpoint endpoint : directory.usable(pool.getPool())) {
            if (endpoint.report().weightsVersion() != pool.getWeightsVersion()) {
                outdated.add(endpoint);
            }
        }
        return outdated;
    }

    private void orderOutdatedEndpoints(PoolObject pool, long fencingToken) {
        Set<String> loadingNames = new HashSet<>();
        Map<String, Endpoint> byName = new HashMap<>();
        for (Endpoint endpoint : directory.usable(pool.getPool())) {
            byName.put(endpoint.name(), endpoint);
            if (endpoint.report().loading() || orderedEndpoints.contains(endpoint.name())) {
                loadingNames.add(endpoint.name());
            }
        }
        Set<String> outdatedNames = new HashSet<>();
        outdatedEndpoints(pool).forEach(endpoint -> outdatedNames.add(endpoint.name()));
        for (String name : LoadPlan.next(outdatedNames, loadingNames, pool.getConcurrentLoads())) {
            orderedEndpoints.add(name);
            Endpoint endpoint = byName.get(name);
            Thread.ofVirtual()
                    .start(() -> sendOrder(endpoint, fencingToken, pool.getWeightsVersion()));
        }
    }

    private void sendOrder(Endpoint endpoint, long fencingToken, long weightsVersion) {
        try {
            EventLog.info(
                    LogEvent.ORDER_GIVEN,
                    "endpoint "
                            + endpoint.name()
                            + ", weights "
                            + weightsVersion
                            + ", fencing "
                            + fencingToken);
            client.orderWeights(endpoint, fencingToken, weightsVersion);
            directory.recordReport(endpoint, client.state(endpoint));
        } catch (RunnerException failed) {
            EventLog.warn(LogEvent.ORDER_FAILED, String.valueOf(failed.getMessage()));
        } finally {
            orderedEndpoints.remove(endpoint.name());
        }
    }

    private void acquire(String pool, Optional<Catalog.Claim> current) {
        String mark = UUID.randomUUID().toString();
        OrderObject order =
                OrderObject.newBuilder()
                        .setPool(pool)
                        .setVm(state.self().vm())
                        .setIncarnation(state.self().incarnation())
                        .setMark(mark)
                        .build();
        try {
            claimAcquirer.acquire(
                    new ClaimAcquirer.Attempt(
                            ObjectKeys.order(pool),
                            current,
                            order.toByteArray(),
                            value -> hasMark(value, mark),
                            version -> claim(pool).recordAcquisition(version, current.isPresent()),
                            version -> confirm(pool, version)));
        } finally {
            acquiring.remove(pool);
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
        // The control thread ends the checks when it stops.
    }
}
