import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A model runner on loopback that streams events and loads weights by orders (strategy wait). It accepts at most
 * maxConns connections; those beyond are reset, as nothing listens while it has that many.
 */
final class ModelRunner {
    /** One run of a request at one runner. */
    record Run(String request, String runner, long beginMillis, long[] endMillis, String[] end, String lastEventId) {}

    static final String MODEL = "model-a";

    final String id;
    private final Store store;
    private final Record record;
    private final int events;
    private final long gapMillis;
    private final long prefillMillis;
    private final int port;
    private final List<Run> runs;
    /** As on the sheet of the deployment taploen-dk. */
    static final int MAX_CONNS = 480;
    private int connections;
    private ServerSocket server;
    /** By how much the ids of a stream's events increase. */
    private int idStep = 1;
    private long version = 1;
    private long ordered;
    private long sequence;
    private int running;

    ModelRunner(
            String id, Store store, Record record, List<Run> runs, int events, long gapMillis, long prefillMillis)
            throws IOException {
        this.id = id;
        this.store = store;
        this.record = record;
        this.runs = runs;
        this.events = events;
        this.gapMillis = gapMillis;
        this.prefillMillis = prefillMillis;
        this.port = Daemons.freePort();
        listen();
        beat("ready");
    }

    synchronized void beat(String state) {
        store.put("servers", id, """
                {"service":"llm","address":"127.0.0.1:%d","zone":"zone-a","version":"v1","slots":96,"state":"%s",
                "coldLeftMs":0,"stage":"both","models":[{"name":"%s","version":%d,"adapters":[]}],"seq":%d,"born":1}
                """.formatted(port, state, MODEL, version, sequence));
    }

    void setIdStep(int step) {
        idStep = step;
    }

    /** Opens connections as other callers do, which stay idle, and returns them. */
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

    private synchronized void update() throws IOException {
        boolean full = connections >= MAX_CONNS;
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
                if (!answer(call, socket, in)) {
                    break;
                }
            }
        } catch (IOException | InterruptedException gone) {
            // The connection was closed.
        } finally {
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

    private boolean answer(Http.Message call, Socket socket, InputStream in)
            throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        String expected = call.field("Bronzelug-Expect-Instance");
        String request = call.field("Bronzelug-Request-Id");
        if (!expected.isEmpty() && !expected.equals(id)) {
            plain(out, 421, request, "Bronzelug-Instance-Id: " + id + "\r\n", "");
            return true;
        }
        switch (call.target()) {
            case "/report" -> {
                plain(out, 200, "", "Content-Type: application/json\r\n", report());
                return true;
            }
            case "/order" -> {
                order(call, out);
                return true;
            }
            case "/health" -> {
                plain(out, 200, "", "Bronzelug-Instance-Id: " + id + "\r\n", "");
                return true;
            }
            default -> {
                return stream(call, request, socket, in, out);
            }
        }
    }

    private static void plain(OutputStream out, int status, String request, String fields, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String echo = request.isEmpty() ? "" : "Bronzelug-Request-Id: " + request + "\r\n";
        Http.write(out, "HTTP/1.1 " + status + " X\r\n" + echo + fields + "Content-Length: " + bytes.length
                + "\r\n\r\n", bytes);
    }

    private synchronized String report() {
        return """
                {"stage":"both","models":[{"name":"%s","version":%d,"adapters":[]}],"busy":%s,"seq":%d,"waiting":0,
                "running":%d,"kvUsed":%d,"kvTotal":90000,"handles":0,"born":1}
                """.formatted(MODEL, version, ordered > 0, sequence, running, running * 1000);
    }

    private void order(Http.Message call, OutputStream out) throws IOException {
        long wanted = (Long) Json.object(call.text()).get("version");
        record.line("order at " + id + " " + call.text());
        int status;
        synchronized (this) {
            if (version >= wanted) {
                status = 200;
            } else if (ordered > 0) {
                status = 409;
            } else {
                status = 202;
                ordered = wanted;
                sequence++;
                Thread.startVirtualThread(this::load);
            }
        }
        plain(out, status, "", "", "");
    }

    private void load() {
        try {
            synchronized (this) {
                while (running > 0) {
                    wait();
                }
            }
            Thread.sleep(380);
            synchronized (this) {
                version = ordered;
                ordered = 0;
            }
            record.line(id + " has loaded version " + version);
            beat("ready");
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean stream(Http.Message call, String request, Socket socket, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
        String expectedVersion = call.field("Bronzelug-Expect-Version");
        long runVersion;
        synchronized (this) {
            if (ordered > 0) {
                plain(out, 503, request, "Bronzelug-Not-Executed: 1\r\n", "");
                return true;
            }
            if (!expectedVersion.isEmpty() && Long.parseLong(expectedVersion) != version) {
                plain(out, 421, request, "", "");
                return true;
            }
            running++;
            runVersion = version;
        }
        String last = call.field("Last-Event-Id");
        int number;
        Run run = new Run(request, id, record.millis(), new long[1], new String[1], last);
        synchronized (runs) {
            runs.add(run);
            number = runs.size();
        }
        record.line("run " + request + " begins at " + id + (last.isEmpty() ? "" : " after event " + last));
        AtomicBoolean closed = new AtomicBoolean();
        AtomicBoolean done = new AtomicBoolean();
        Thread watcher = Thread.startVirtualThread(() -> awaitClose(in, closed, done));
        String how = "complete";
        try {
            Thread.sleep(prefillMillis);
            String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBronzelug-Request-Id: " + request
                    + "\r\nBronzelug-Response-Stamp: stamp." + id + "." + request + "\r\nBronzelug-Weight-Versions: "
                    + runVersion + "\r\nKeep-Alive: timeout=15\r\nTransfer-Encoding: chunked\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            long first = last.isEmpty() ? 1 : Long.parseLong(last) / idStep + 1;
            String[] tokens = call.field("Bronzelug-Token-Count").split(",");
            int length = tokens.length > 1 ? Math.min(events, Integer.parseInt(tokens[1])) : events;
            for (long event = first; event <= length && !closed.get(); event++) {
                String text = "id: " + event * idStep + "\ndata: " + id + " run " + number + " token " + event + "\n\n";
                String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
                out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                Thread.sleep(gapMillis);
            }
            if (!closed.get()) {
                done.set(true);
                out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException gone) {
            closed.set(true);
        }
        if (closed.get()) {
            how = "dropped, as its connection was closed";
        }
        synchronized (this) {
            running--;
            notifyAll();
        }
        run.endMillis[0] = record.millis();
        run.end[0] = how;
        record.line("run " + request + " ends at " + id + ": " + how);
        if (!closed.get()) {
            // The watcher ends with the first byte of the next request.
            watcher.join();
        }
        return !closed.get();
    }

    /** Notices that the daemon closes the connection while the request runs. */
    private static void awaitClose(InputStream in, AtomicBoolean closed, AtomicBoolean done) {
        try {
            in.mark(1);
            int next = in.read();
            if (next < 0 && !done.get()) {
                closed.set(true);
            } else if (next >= 0) {
                in.reset();
            }
        } catch (IOException reset) {
            closed.set(true);
        }
    }
}
