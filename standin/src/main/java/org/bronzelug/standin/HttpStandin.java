package org.bronzelug.standin;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;

/**
 * A stand-in that serves HTTP on one loopback address.
 *
 * <p>Thread-safe: start and stop are called by one thread, routes by any.
 */
public abstract class HttpStandin {
    private final String host;
    private final int requestedPort;
    private Javalin server;

    /**
     * @param host IP number to listen on
     * @param port 0 for any free one
     */
    protected HttpStandin(String host, int port) {
        this.host = host;
        this.requestedPort = port;
    }

    protected abstract void addRoutes(JavalinConfig config);

    /** Starts to serve. */
    public synchronized void start() {
        server =
                Javalin.create(
                        config -> {
                            config.startup.showJavalinBanner = false;
                            config.startup.startupWatcherEnabled = false;
                            config.concurrency.useVirtualThreads = true;
                            config.jetty.host = host;
                            // Compression would hold streamed chunks back.
                            config.http.compressionStrategy = CompressionStrategy.NONE;
                            config.http.maxRequestSize = 16L * 1024 * 1024;
                            addRoutes(config);
                        });
        server.start(host, requestedPort);
    }

    /** Stops, cutting what is in progress. */
    public synchronized void stop() {
        if (server != null) {
            server.stop();
            server = null;
        }
    }

    public synchronized int port() {
        return server.port();
    }

    /** The address to reach this stand-in at. */
    public String url() {
        return "http://" + host + ":" + port();
    }
}
