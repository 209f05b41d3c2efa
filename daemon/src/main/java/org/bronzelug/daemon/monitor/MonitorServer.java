package org.bronzelug.daemon.monitor;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.net.InetSocketAddress;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.settings.Addresses;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.Service;
import org.bronzelug.kernel.ServiceException;

/** HTTP server for the health check at /health and the metrics at /metrics. Thread-safe. */
@Singleton
public final class MonitorServer implements Service {
    /** The name under which this service is registered with the kernel. */
    public static final String NAME = "monitor";

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final ControlState state;
    private final DaemonMetrics daemonMetrics;
    private final PlatformClient platform;
    private Javalin server;

    @Inject
    public MonitorServer(
            Settings settings,
            ControlState state,
            DaemonMetrics daemonMetrics,
            PlatformClient platform) {
        this.settings = settings;
        this.state = state;
        this.daemonMetrics = daemonMetrics;
        this.platform = platform;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() throws ServiceException {
        InetSocketAddress address = Addresses.parse(settings.listen().monitor());
        try {
            server =
                    Javalin.create(
                            config -> {
                                config.startup.showJavalinBanner = false;
                                config.startup.startupWatcherEnabled = false;
                                config.concurrency.useVirtualThreads = true;
                                config.routes.get("/health", this::serveHealth);
                                config.routes.get("/metrics", this::serveMetrics);
                            });
            server.start(address.getHostString(), address.getPort());
        } catch (RuntimeException failed) {
            throw new ServiceException(
                    "listen.monitor: can't listen on " + settings.listen().monitor(), failed);
        }
    }

    /** Returns the address on which the server listens. */
    public String address() {
        return Addresses.withPort(settings.listen().monitor(), server.port());
    }

    private void serveHealth(Context context) {
        boolean serving = state.view().isFresh(System.nanoTime()) && !state.isDraining();
        context.status(serving ? 200 : SERVICE_UNAVAILABLE)
                .result(serving ? "serving" : "not serving");
    }

    private void serveMetrics(Context context) {
        ObjectNode metrics = JSON.createObjectNode();
        metrics.put("platform_calls", platform.calls());
        daemonMetrics
                .registry()
                .getGauges()
                .forEach(
                        (name, gauge) ->
                                metrics.put(name, ((Number) gauge.getValue()).doubleValue()));
        for (var entry : daemonMetrics.registry().getCounters().entrySet()) {
            Counter counter = entry.getValue();
            metrics.put(entry.getKey(), counter.getCount());
        }
        daemonMetrics
                .registry()
                .getTimers()
                .forEach((name, timer) -> addTimer(metrics, name, timer));
        context.contentType("application/json").result(metrics.toString());
    }

    private static void addTimer(ObjectNode metrics, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        metrics.put(name + ".count", timer.getCount());
        metrics.put(name + ".p50_ms", snapshot.getMedian() / NANOS_PER_MILLI);
        metrics.put(name + ".p99_ms", snapshot.get99thPercentile() / NANOS_PER_MILLI);
    }

    @Override
    public void stop() {
        if (server != null) {
            server.stop();
        }
    }
}
