package org.bronzelug.router.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts connections on loopback and has each request without a body responded to with raw bytes.
 * Thread-safe.
 */
final class RawServer implements AutoCloseable {
    /** Responds to requests, from one thread for each connection. */
    interface Responder {
        /**
         * Responds to a request.
         *
         * @param number the number of the request among those of all connections, from 0
         * @param path the path of the request
         * @return whether further requests are read from the connection
         */
        boolean respond(Socket socket, int number, String path) throws Exception;
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    private final Responder responder;

    RawServer(Responder responder) throws IOException {
        this.responder = responder;
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            boolean open = true;
            for (String line = reader.readLine();
                    open && line != null && !line.isEmpty();
                    line = open ? reader.readLine() : null) {
                String path = line.split(" ", -1)[1];
                String header = reader.readLine();
                while (header != null && !header.isEmpty()) {
                    header = reader.readLine();
                }
                open = responder.respond(socket, requests.getAndIncrement(), path);
            }
        } catch (Exception closed) {
            // The client has closed the connection.
        }
    }

    static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Waits until the client closes a connection; returns false if it stays open. */
    static boolean isClosed(Socket socket, int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        } catch (SocketException reset) {
            return true;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
