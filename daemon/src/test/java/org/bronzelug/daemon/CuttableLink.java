package org.bronzelug.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP forwarder that a test can cut (open connections break, new ones fail) or silence (open
 * connections stay, but no bytes pass until the link is healed). Thread-safe.
 */
final class CuttableLink implements AutoCloseable {
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile int targetPort;
    private final Object silenceLock = new Object();
    private volatile boolean cut;
    private boolean silent;

    CuttableLink() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void connectTo(int port) {
        targetPort = port;
    }

    void cut() {
        cut = true;
        sockets.forEach(CuttableLink::closeQuietly);
        sockets.clear();
    }

    /**
     * Stops forwarding without closing a connection, as a frozen VM or a network that drops all
     * packets would.
     */
    void silence() {
        synchronized (silenceLock) {
            silent = true;
        }
    }

    void heal() {
        cut = false;
        synchronized (silenceLock) {
            silent = false;
            silenceLock.notifyAll();
        }
    }

    private void awaitEndOfSilence() throws IOException {
        synchronized (silenceLock) {
            while (silent) {
                try {
                    silenceLock.wait();
                } catch (InterruptedException interrupted) {
                    throw new IOException("interrupted", interrupted);
                }
            }
        }
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket incoming = listener.accept();
                Thread.ofVirtual().start(() -> openConnection(incoming));
            }
        } catch (IOException closed) {
            cut();
        }
    }

    private void openConnection(Socket incoming) {
        if (cut) {
            closeQuietly(incoming);
            return;
        }
        try {
            Socket outgoing = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            sockets.add(incoming);
            sockets.add(outgoing);
            if (cut) {
                // The link was cut before this connection was in the set, so cut() did not close
                // it.
                closeQuietly(incoming);
                closeQuietly(outgoing);
                return;
            }
            Thread.ofVirtual().start(() -> forward(incoming, outgoing));
            Thread.ofVirtual().start(() -> forward(outgoing, incoming));
        } catch (IOException unreachable) {
            closeQuietly(incoming);
        }
    }

    private void forward(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16_384];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitEndOfSilence();
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException broken) {
            // Both ends are closed below.
        } finally {
            closeQuietly(from);
            closeQuietly(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // There is nothing left to close.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        heal();
        cut();
    }
}
