package org.bronzelug.daemon.runner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.EndpointEntry;
import org.bronzelug.api.PoolObject;
import org.bronzelug.daemon.configuration.Catalog;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The endpoints of the configuration, and their state as polled.
 *
 * <p>Thread-safe. Invariant: an endpoint that the configuration calls leaving, or no longer names,
 * is given to no new request.
 */
@Singleton
public final class EndpointDirectory implements Service {
    /** Under which the kernel knows this service. */
    public static final String NAME = "endpoints";

    private static final long POLL_MILLIS = 250;

    private final ControlThread control;
    private final ControlState state;
    private final RunnerClient client;
    private final ExecutorService polls = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();
    private final Set<String> polling = ConcurrentHashMap.newKeySet();
    private final List<Consumer<Endpoint>> replacedListeners = new ArrayList<>();
    private volatile Runnable changedListener = () -> {};
    private Optional<Catalog> applied = Optional.empty();

    @Inject
    public EndpointDirectory(ControlThread control, ControlState state, RunnerClient client) {
        this.control = control;
        this.state = state;
        this.client = client;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        control.every(POLL_MILLIS, this::pollAll);
    }

    /** Called for an endpoint that came back empty or went down; before the start. */
    public void onReplaced(Consumer<Endpoint> listener) {
        replacedListeners.add(listener);
    }

    /** Called when an endpoint may have become usable; before the start. */
    public void onChanged(Runnable listener) {
        changedListener = listener;
    }

    /** The endpoints of a pool that may get new work now. */
    public List<Endpoint> usable(String pool) {
        List<Endpoint> usable = new ArrayList<>();
        for (Endpoint endpoint : refresh()) {
            if (endpoint.pool().equals(pool) && endpoint.isLive() && !endpoint.isLeaving()) {
                usable.add(endpoint);
            }
        }
        return usable;
    }

    /** All endpoints of the configuration. */
    public Collection<Endpoint> all() {
        return refresh();
    }

    /**
     * Brings the endpoints level with the configuration in force at this moment.
     *
     * <p>Called for each request and each report, so the same catalog is not gone through again.
     * The catalog is read under the lock: an older one can't be applied after a newer one.
     */
    private synchronized Collection<Endpoint> refresh() {
        Catalog catalog = state.view().catalog();
        if (applied.isEmpty() || applied.get() != catalog) {
            apply(catalog);
            applied = Optional.of(catalog);
        }
        return endpoints.values();
    }

    private void apply(Catalog catalog) {
        Set<String> named = new HashSet<>();
        for (PoolObject pool : catalog.pools()) {
            for (EndpointEntry entry : pool.getEndpointsList()) {
                String id = pool.getPool() + "/" + entry.getEndpoint() + "/" + entry.getUrl();
                named.add(id);
                endpoints
                        .computeIfAbsent(
                                id,
                                ignored ->
                                        new Endpoint(
                                                entry.getEndpoint(),
                                                pool.getPool(),
                                                entry.getUrl()))
                        .setLeaving(entry.getLeaving());
            }
        }
        endpoints.keySet().retainAll(named);
    }

    private void pollAll() {
        for (Endpoint endpoint : refresh()) {
            if (polling.add(endpoint.url())) {
                polls.execute(() -> poll(endpoint));
            }
        }
    }

    private void poll(Endpoint endpoint) {
        try {
            report(endpoint, client.state(endpoint));
        } catch (RunnerException failed) {
            down(endpoint, failed.getMessage());
        } finally {
            polling.remove(endpoint.url());
        }
    }

    /** Takes in a report, polled or carried by an answer. */
    public void report(Endpoint endpoint, EndpointReport report) {
        boolean wasLive = endpoint.isLive();
        if (endpoint.update(report)) {
            EventLog.warn(LogEvent.RUNNER_REPLACED, "endpoint " + endpoint.name());
            replacedListeners.forEach(listener -> listener.accept(endpoint));
        }
        if (!wasLive) {
            EventLog.info(
                    LogEvent.RUNNER_UP,
                    "endpoint " + endpoint.name() + ", incarnation " + report.incarnation());
        }
        changedListener.run();
    }

    /** Notes that an endpoint does not answer; its calls break off and their requests move. */
    public void down(Endpoint endpoint, String reason) {
        if (endpoint.isLive()) {
            EventLog.warn(
                    LogEvent.RUNNER_DOWN, "endpoint " + endpoint.name() + ", reason: " + reason);
        }
        endpoint.markDown();
    }

    @Override
    public void stop() {
        polls.shutdownNow();
        client.close();
    }
}
