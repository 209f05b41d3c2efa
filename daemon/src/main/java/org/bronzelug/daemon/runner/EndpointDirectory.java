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
 * Keeps the endpoints of the configuration and polls their state.
 *
 * <p>Thread-safe. Invariant: no new request gets an endpoint that the configuration marks as
 * leaving or no longer contains.
 */
@Singleton
public final class EndpointDirectory implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "endpoints";

    private static final long POLL_MILLIS = 250;

    private final ControlThread control;
    private final ControlState state;
    private final RunnerClient client;
    private final ExecutorService pollExecutor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();
    private final Set<String> polling = ConcurrentHashMap.newKeySet();
    private final List<Consumer<Endpoint>> restartListeners = new ArrayList<>();
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
        control.scheduleWithFixedDelay(POLL_MILLIS, this::pollAll);
    }

    /**
     * Adds a listener for endpoints that have restarted, and so lost their cache. Must be called
     * before {@link #start}.
     */
    public void onRestarted(Consumer<Endpoint> listener) {
        restartListeners.add(listener);
    }

    /**
     * Sets the listener that is called when an endpoint may have become usable. Must be called
     * before {@link #start}.
     */
    public void onChanged(Runnable listener) {
        changedListener = listener;
    }

    /** Returns the live endpoints of a pool that may get new requests. */
    public List<Endpoint> usable(String pool) {
        List<Endpoint> usable = new ArrayList<>();
        for (Endpoint endpoint : refresh()) {
            if (endpoint.pool().equals(pool) && endpoint.isLive() && !endpoint.isLeaving()) {
                usable.add(endpoint);
            }
        }
        return usable;
    }

    /** Returns all endpoints of the configuration. */
    public Collection<Endpoint> all() {
        return refresh();
    }

    /**
     * Updates the endpoints to the configuration in force now, and returns them.
     *
     * <p>A catalog that is applied already is not applied again, because this method runs for each
     * request and each poll. The catalog is read under the lock, so an older one can't be applied
     * after a newer one.
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
        Set<String> configuredIds = new HashSet<>();
        for (PoolObject pool : catalog.pools()) {
            for (EndpointEntry entry : pool.getEndpointsList()) {
                String id = pool.getPool() + "/" + entry.getEndpoint() + "/" + entry.getUrl();
                configuredIds.add(id);
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
        endpoints.keySet().retainAll(configuredIds);
    }

    private void pollAll() {
        for (Endpoint endpoint : refresh()) {
            if (polling.add(endpoint.url())) {
                pollExecutor.execute(() -> poll(endpoint));
            }
        }
    }

    private void poll(Endpoint endpoint) {
        try {
            recordReport(endpoint, client.state(endpoint));
        } catch (RunnerException failed) {
            down(endpoint, failed.getMessage());
        } finally {
            polling.remove(endpoint.url());
        }
    }

    /** Records the report of an endpoint, from a poll or from a response. */
    public void recordReport(Endpoint endpoint, EndpointReport report) {
        boolean wasLive = endpoint.isLive();
        if (endpoint.update(report)) {
            EventLog.warn(LogEvent.RUNNER_REPLACED, "endpoint " + endpoint.name());
            restartListeners.forEach(listener -> listener.accept(endpoint));
        }
        if (!wasLive) {
            EventLog.info(
                    LogEvent.RUNNER_UP,
                    "endpoint " + endpoint.name() + ", incarnation " + report.incarnation());
        }
        changedListener.run();
    }

    /** Marks an endpoint down and cancels the calls to it, so that their requests move. */
    public void down(Endpoint endpoint, String reason) {
        if (endpoint.isLive()) {
            EventLog.warn(
                    LogEvent.RUNNER_DOWN, "endpoint " + endpoint.name() + ", reason: " + reason);
        }
        endpoint.markDown();
    }

    @Override
    public void stop() {
        pollExecutor.shutdownNow();
        client.close();
    }
}
