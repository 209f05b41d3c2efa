import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * An application runner on loopback, as on the sheet of taploen-dk: 6 slots, 24 requests that wait, 96 connections from
 * all callers combined. It rejects what it has no place for as not executed; connections beyond the limit are reset, as
 * nothing listens while it has that many.
 */
final class AppRunner {
    static final int SLOTS = 6;
    static final int QUEUE = 24;
    static final int MAX_CONNS = 96;

    final String id;
    /** When each request began to run here. */
    final Map<String, Long> begunNanos = new ConcurrentHashMap<>();
    private final Record record;
    private final int workMillis;
    private final int port = Daemons.freePort();
    private final Store store;
    private int connections;
    private int running;
    private int waiting;
    private ServerSocket server;
    private double shedShare;
    private boolean exited;
    /** When each request arrived here, also those that were not run. */
    final Map<String, Long> arrivedNanos = new ConcurrentHashMap<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    AppRunner(String id, String service, Store store, Record record, int workMillis) throws IOException {
        this.id = id;
        this.store = store;
        this.record = record;
        this.workMillis = workMillis;
        listen();
        store.put("servers", id, """
                {"service":"%s","address":"127.0.0.1:%d","zone":"zone-a","version":"v1","slots":%d,"state":"ready",
                "coldLeftMs":0,"seq":0,"born":1}
                """.formatted(service, port, SLOTS));
    }

    /** Rejects a share of the requests as not executed, while the health check is good. */
    synchronized void shed(double share) {
        shedShare = share;
    }

    /** Opens connections as other callers do, which stay idle. */
    List<Socket> connectOthers(int count) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        return sockets;
    }

    private void listen() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        server = opened;
        Thread.startVirtualThread(() -> accept(opened));
    }

    private void accept(ServerSocket opened) {
        try {
            while (true) {
                Socket socket = opened.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                synchronized (this) {
                    connections++;
                    update();
                }
                Thread.startVirtualThread(() -> serve(socket));
            }
        } catch (IOException closed) {
            // Listens no longer.
        }
    }

    /** Ends the runner: it listens no longer, and its connections are closed. */
    synchronized void exit() throws IOException {
        exited = true;
        update();
        for (Socket socket : sockets) {
            socket.close();
        }
        record.line(id + " has exited");
    }

    private synchronized void update() throws IOException {
        boolean full = exited || connections >= MAX_CONNS;
        if (full && server != null) {
            server.close();
            server = null;
        } else if (!full && server == null) {
            listen();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            Http.Message call;
            while ((call = Http.read(in)) != null) {
                answer(call, socket);
            }
        } catch (IOException | InterruptedException gone) {
            // The connection was closed.
        } finally {
            sockets.remove(socket);
            synchronized (this) {
                connections--;
                try {
                    update();
                } catch (IOException failed) {
                    record.line(id + " cannot listen: " + failed);
                }
            }
        }
    }

    private void answer(Http.Message call, Socket socket) throws IOException, InterruptedException {
        String request = call.field("Bronzelug-Request-Id");
        String expected = call.field("Bronzelug-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(socket, 421, request, "Bronzelug-Instance-Id: " + id + "\r\n", "");
            return;
        }
        if (call.target().equals("/health")) {
            write(socket, 200, "", "Bronzelug-Instance-Id: " + id + "\r\n", "");
            return;
        }
        arrivedNanos.put(request, System.nanoTime());
        synchronized (this) {
            boolean grey = ThreadLocalRandom.current().nextDouble() < shedShare;
            if (grey || running >= SLOTS && waiting >= QUEUE) {
                record.line("shed " + request + " at " + id);
                write(socket, 503, request, load() + "Bronzelug-Not-Executed: 1\r\n", "");
                return;
            }
            waiting++;
            while (running >= SLOTS) {
                wait();
            }
            waiting--;
            running++;
        }
        begunNanos.put(request, System.nanoTime());
        record.line("run " + request + " begins at " + id);
        Thread.sleep(ThreadLocalRandom.current().nextInt(workMillis / 2, workMillis * 3 / 2));
        String fields;
        synchronized (this) {
            running--;
            notifyAll();
            fields = load();
        }
        record.line("run " + request + " ends at " + id);
        write(socket, 200, request, fields + "Bronzelug-Response-Stamp: stamp." + id + "." + request + "\r\n",
                "answer to " + request + " by " + id + " " + "x".repeat(760));
    }

    private String load() {
        return "Bronzelug-Server-Load: " + running + "," + waiting + "," + SLOTS + "\r\n";
    }

    private static void write(Socket socket, int status, String request, String fields, String body)
            throws IOException {
        String echo = request.isEmpty() ? "" : "Bronzelug-Request-Id: " + request + "\r\n";
        Http.write(socket.getOutputStream(), "HTTP/1.1 " + status + " X\r\n" + echo + fields
                + "Keep-Alive: timeout=15\r\nContent-Length: " + body.length() + "\r\n\r\n",
                body.getBytes(StandardCharsets.US_ASCII));
    }
}
