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

/** Serves /health and /metrics. Thread-safe. */
@Singleton
public final class MonitorServer implements Service {
    /** Under which the kernel knows this service. */
    public static final String NAME = "monitor";

    private static final int NOT_SERVING = 503;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final ControlState state;
    private final DaemonMetrics measures;
    private final PlatformClient platform;
    private Javalin server;

    @Inject
    public MonitorServer(
            Settings settings,
            ControlState state,
            DaemonMetrics measures,
            PlatformClient platform) {
        this.settings = settings;
        this.state = state;
        this.measures = measures;
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
                                config.routes.get("/health", this::health);
                                config.routes.get("/metrics", this::metrics);
                            });
            server.start(address.getHostString(), address.getPort());
        } catch (RuntimeException failed) {
            throw new ServiceException(
                    "listen.monitor: can't listen on " + settings.listen().monitor(), failed);
        }
    }

    /** The address listened on. */
    public String address() {
        return Addresses.withPort(settings.listen().monitor(), server.port());
    }

    private void health(Context context) {
        boolean serving = state.view().isFresh(System.nanoTime()) && !state.isDraining();
        context.status(serving ? 200 : NOT_SERVING).result(serving ? "serving" : "not serving");
    }

    private void metrics(Context context) {
        ObjectNode answer = JSON.createObjectNode();
        answer.put("platform_calls", platform.calls());
        measures.registry()
                .getGauges()
                .forEach(
                        (name, gauge) ->
                                answer.put(name, ((Number) gauge.getValue()).doubleValue()));
        for (var entry : measures.registry().getCounters().entrySet()) {
            Counter counter = entry.getValue();
            answer.put(entry.getKey(), counter.getCount());
        }
        measures.registry().getTimers().forEach((name, timer) -> addTimer(answer, name, timer));
        context.contentType("application/json").result(answer.toString());
    }

    private static void addTimer(ObjectNode answer, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        answer.put(name + ".count", timer.getCount());
        answer.put(name + ".p50_ms", snapshot.getMedian() / NANOS_PER_MILLI);
        answer.put(name + ".p99_ms", snapshot.get99thPercentile() / NANOS_PER_MILLI);
    }

    @Override
    public void stop() {
        if (server != null) {
            server.stop();
        }
    }
}
