package org.bronzelug.standin;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;

/**
 * A simulated outside system that serves HTTP on one loopback address.
 *
 * <p>Thread-safe: one thread calls start and stop, and any thread may call a route.
 */
public abstract class HttpStandin {
    private final String host;
    private final int requestedPort;
    private Javalin server;

    /**
     * @param host the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     */
    protected HttpStandin(String host, int port) {
        this.host = host;
        this.requestedPort = port;
    }

    protected abstract void addRoutes(JavalinConfig config);

    public synchronized void start() {
        server =
                Javalin.create(
                        config -> {
                            config.startup.showJavalinBanner = false;
                            config.startup.startupWatcherEnabled = false;
                            config.concurrency.useVirtualThreads = true;
                            config.jetty.host = host;
                            // Compression would delay streamed chunks.
                            config.http.compressionStrategy = CompressionStrategy.NONE;
                            config.http.maxRequestSize = 16L * 1024 * 1024;
                            addRoutes(config);
                        });
        server.start(host, requestedPort);
    }

    /** Stops and aborts the requests in progress. */
    public synchronized void stop() {
        if (server != null) {
            server.stop();
            server = null;
        }
    }

    public synchronized int port() {
        return server.port();
    }

    /** Returns the base URL of this simulated system. */
    public String url() {
        return "http://" + host + ":" + port();
    }
}
