package org.bronzelug.daemon.caller;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.util.OptionalInt;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Provider;
import javax.inject.Singleton;
import org.bronzelug.daemon.operator.OperatorCalls;
import org.bronzelug.daemon.settings.Addresses;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.Service;
import org.bronzelug.kernel.ServiceException;

/** The gRPC server for callers and operators. Thread-safe. */
@Singleton
public final class CallerServer implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "callers";

    private static final int MAXIMUM_STREAMS_PER_CONNECTION = 1_000;
    private static final int MAXIMUM_HEADER_BYTES = 8_192;
    private static final long SHUTDOWN_GRACE_MILLIS = 500;

    private final Settings settings;
    private final Provider<RouterCalls> routerCalls;
    private final Provider<OperatorCalls> operatorCalls;
    private volatile Server server;
    private volatile OptionalInt port = OptionalInt.empty();

    @Inject
    public CallerServer(
            Settings settings,
            Provider<RouterCalls> routerCalls,
            Provider<OperatorCalls> operatorCalls) {
        this.settings = settings;
        this.routerCalls = routerCalls;
        this.operatorCalls = operatorCalls;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() throws ServiceException {
        try {
            server =
                    NettyServerBuilder.forAddress(Addresses.parse(settings.listen().callers()))
                            .executor(Executors.newVirtualThreadPerTaskExecutor())
                            .maxInboundMessageSize(settings.limits().maximumRequestBytes())
                            .maxInboundMetadataSize(MAXIMUM_HEADER_BYTES)
                            .maxConcurrentCallsPerConnection(MAXIMUM_STREAMS_PER_CONNECTION)
                            .permitKeepAliveTime(5, TimeUnit.SECONDS)
                            .permitKeepAliveWithoutCalls(true)
                            .intercept(new HeaderInterceptor())
                            .addService(routerCalls.get())
                            .addService(operatorCalls.get())
                            .build()
                            .start();
            port = OptionalInt.of(server.getPort());
        } catch (IOException failed) {
            throw new ServiceException(
                    "listen.callers: can't listen on " + settings.listen().callers(), failed);
        }
    }

    /** Returns the address at which callers reach this VM. */
    public String address() {
        if (settings.advertise().callers().isPresent()) {
            return settings.advertise().callers().get();
        }
        // Stored at the start: a stopped server can't report its port, and other services still
        // need the address.
        return port.isPresent()
                ? Addresses.withPort(settings.listen().callers(), port.getAsInt())
                : settings.listen().callers();
    }

    @Override
    public void stop() {
        if (server == null) {
            return;
        }
        server.shutdown();
        try {
            if (!server.awaitTermination(SHUTDOWN_GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                server.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            server.shutdownNow();
        }
    }
}
