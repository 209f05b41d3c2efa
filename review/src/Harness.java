import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Stand-ins of the platform's store, of runners and of requesters, and the start of machines. */
final class Harness {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter record;

    private Harness() {}

    static double seconds() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    static synchronized void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Writes one line with the time since the start. */
    static synchronized void log(String format, Object... values) {
        String line = String.format(Locale.ROOT, format, values);
        record.printf(Locale.ROOT, "%8.3f %s%n", seconds(), line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static void background(String name, Action action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (IOException ignored) {
                                // The connection or the listener was closed.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
    }

    interface Action {
        void run() throws IOException;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** A message of HTTP/1.1. The first line of a request holds method and target. */
    static final class Message {
        String first = "";
        final Map<String, List<String>> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            List<String> values = headers.get(name.toLowerCase(Locale.ROOT));
            return values == null ? "" : values.get(0);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            throw new EOFException("closed");
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("closed within a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        String line = readLine(in);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers
                    .computeIfAbsent(
                            line.substring(0, colon).toLowerCase(Locale.ROOT),
                            name -> new ArrayList<>())
                    .add(line.substring(colon + 1).strip());
            line = readLine(in);
        }
        return message;
    }

    static void readBody(Message message, InputStream in) throws IOException {
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
            while (size > 0) {
                body.write(readExactly(in, size));
                readLine(in);
                size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
            }
            readLine(in);
            message.body = body.toByteArray();
        } else if (!message.header("content-length").isEmpty()) {
            message.body = readExactly(in, Integer.parseInt(message.header("content-length")));
        }
    }

    static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("closed within a body");
        }
        return bytes;
    }

    static Message readMessage(InputStream in) throws IOException {
        Message message = readHead(in);
        readBody(message, in);
        return message;
    }

    static void respond(OutputStream out, int status, String extraHeaders, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + " X\r\n" + extraHeaders
                        + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    /** A listener that passes each connection to a handler on a thread of its own. */
    static final class Listener implements Closeable {
        private final ServerSocket socket;
        private final List<Socket> open = new CopyOnWriteArrayList<>();

        interface Handler {
            void serve(Socket socket, InputStream in, OutputStream out) throws IOException;
        }

        Listener(String ip, int port, String name, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(ip, port), 512);
            background(
                    name,
                    () -> {
                        while (true) {
                            Socket accepted = socket.accept();
                            accepted.setTcpNoDelay(true);
                            open.add(accepted);
                            background(
                                    name + "-connection",
                                    () -> {
                                        try (accepted) {
                                            handler.serve(
                                                    accepted,
                                                    new BufferedInputStream(
                                                            accepted.getInputStream(), 65_536),
                                                    new BufferedOutputStream(
                                                            accepted.getOutputStream(), 65_536));
                                        } finally {
                                            open.remove(accepted);
                                        }
                                    });
                        }
                    });
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        /** Closes the listener and all connections, as the end of a process does. */
        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : open) {
                connection.close();
            }
        }
    }

    /** The platform's store: objects by kind and name, one revision counter, lists and watches. */
    static final class Store {
        /** Stands for a byte, in what a writer has stored, that is not valid UTF-8. */
        static final String UNREADABLE = "\ue000";

        /** As in the site file hak-faqbau: {@code page = 50}. The pages say 500 at most. */
        private static final int PAGE_OBJECTS = 50;

        private static final int PAGE_BYTES = 1_048_576;
        private static final long CALL_MILLIS = 4;

        private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
        private final List<Event> history = new ArrayList<>();
        private final Listener listener;
        private long revision = 100;
        private int watchEpoch;
        volatile PageListener onPage = (kind, caller, after) -> {};
        volatile CallListener onCall = (method, path, caller) -> true;

        record Event(long revision, String kind, ObjectNode object, boolean removed) {}

        /** Told of each page of a list right after it was sent. */
        interface PageListener {
            void onPage(String kind, String caller, String after) throws IOException;
        }

        /** Decides whether a call is served; otherwise its connection is closed. */
        interface CallListener {
            boolean serves(String method, String path, String caller) throws IOException;
        }

        Store(String ip) throws IOException {
            listener = new Listener(ip, 0, "store", this::serve);
        }

        String address() {
            return listener.address();
        }

        synchronized long revision() {
            return revision;
        }

        /** Creates or replaces an object's spec, as the operator or a runner does. */
        synchronized ObjectNode put(String kind, String name, JsonNode spec) {
            return write(
                    kind,
                    name,
                    spec,
                    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name));
        }

        /** Writes a spec; one that changes nothing gives no event and no new revision. */
        private ObjectNode write(String kind, String name, JsonNode spec, ObjectNode known) {
            if (known != null && known.get("spec").equals(spec)) {
                return known;
            }
            revision++;
            ObjectNode object = JSON.createObjectNode();
            ObjectNode metadata = object.putObject("metadata");
            metadata.put("name", name).put("rev", revision);
            metadata.put(
                    "createRev",
                    known == null ? revision : known.at("/metadata/createRev").asLong());
            metadata.putArray("finalizers");
            metadata.put("deleting", false);
            object.set("spec", spec);
            object.set("status", known == null ? JSON.nullNode() : known.get("status"));
            kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
            history.add(new Event(revision, kind, object, false));
            notifyAll();
            return object;
        }

        synchronized void remove(String kind, String name) {
            ObjectNode known = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
            if (known != null) {
                revision++;
                history.add(new Event(revision, kind, known, true));
                notifyAll();
            }
        }

        synchronized Optional<ObjectNode> get(String kind, String name) {
            return Optional.ofNullable(
                    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name));
        }

        synchronized List<String> names(String kind) {
            return List.copyOf(kinds.computeIfAbsent(kind, k -> new TreeMap<>()).keySet());
        }

        /** Cuts all watches that wait now. */
        synchronized void cutWatches() {
            watchEpoch++;
            notifyAll();
        }

        void close() throws IOException {
            listener.close();
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
            String caller = socket.getInetAddress().getHostAddress();
            while (true) {
                Message request = readMessage(in);
                String[] target = request.target().split("\\?", 2);
                Map<String, String> query = query(target.length > 1 ? target[1] : "");
                String[] path = target[0].split("/");
                if (!onCall.serves(request.method(), request.target(), caller)) {
                    return;
                }
                sleep(CALL_MILLIS);
                String kind = path[2];
                if (request.method().equals("GET") && query.containsKey("watch")) {
                    ObjectNode events =
                            watch(
                                    kind,
                                    Long.parseLong(query.get("watch")),
                                    Long.parseLong(query.getOrDefault("waitMs", "30000")));
                    if (events == null) {
                        return;
                    }
                    respondJson(out, 200, events);
                } else if (request.method().equals("GET") && path.length == 3) {
                    String after = query.getOrDefault("after", "");
                    respondJson(out, 200, list(kind, after));
                    onPage.onPage(kind, caller, after);
                } else if (request.method().equals("GET")) {
                    Optional<ObjectNode> object = get(kind, path[3]);
                    respondJson(
                            out,
                            object.isPresent() ? 200 : 404,
                            object.orElseGet(JSON::createObjectNode));
                } else {
                    write(request, kind, path, out);
                }
            }
        }

        private void write(Message request, String kind, String[] path, OutputStream out)
                throws IOException {
            JsonNode sent = request.json();
            int status = 200;
            ObjectNode result;
            synchronized (this) {
                boolean create = request.method().equals("POST");
                String name = create ? sent.at("/metadata/name").asText() : path[3];
                ObjectNode known =
                        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
                JsonNode condition = sent.at("/metadata/rev");
                boolean conflict =
                        create
                                ? known != null
                                : known != null
                                        && condition.isNumber()
                                        && condition.asLong()
                                                != known.at("/metadata/rev").asLong();
                if (!create && known == null) {
                    status = 404;
                    result = JSON.createObjectNode();
                } else if (conflict) {
                    status = 409;
                    result = known;
                } else if (request.method().equals("DELETE")) {
                    remove(kind, name);
                    result = known;
                } else {
                    result = write(kind, name, sent.get("spec"), known);
                }
            }
            respondJson(out, status, result);
        }

        private synchronized ObjectNode list(String kind, String after) {
            ObjectNode response = JSON.createObjectNode();
            ArrayNode items = response.putArray("items");
            boolean more = false;
            long bytes = 0;
            for (Map.Entry<String, ObjectNode> entry :
                    kinds.computeIfAbsent(kind, k -> new TreeMap<>())
                            .tailMap(after, false)
                            .entrySet()) {
                long size = entry.getValue().toString().length();
                boolean full = items.size() >= PAGE_OBJECTS || bytes + size > PAGE_BYTES;
                if (!items.isEmpty() && full) {
                    more = true;
                    break;
                }
                items.add(entry.getValue());
                bytes += size;
            }
            response.put("hasMore", more);
            response.put("storeRevision", revision);
            return response;
        }

        /** Returns the events after a revision, as soon as there is one; null if it is cut. */
        private synchronized ObjectNode watch(String kind, long since, long waitMillis) {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
            int epoch = watchEpoch;
            while (true) {
                ObjectNode response = JSON.createObjectNode();
                ArrayNode events = response.putArray("events");
                for (Event event : history) {
                    if (event.revision() > since && event.kind().equals(kind)) {
                        ObjectNode item = events.addObject();
                        item.put("removed", event.removed());
                        item.set("object", event.object());
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (!events.isEmpty() || left <= 0) {
                    response.put("storeRevision", revision);
                    return response;
                }
                try {
                    wait(left);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    return null;
                }
                if (epoch != watchEpoch) {
                    return null;
                }
            }
        }

        private static Map<String, String> query(String text) {
            Map<String, String> query = new LinkedHashMap<>();
            for (String part : text.split("&")) {
                String[] pair = part.split("=", 2);
                if (pair.length == 2) {
                    query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        private static void respondJson(OutputStream out, int status, JsonNode body)
                throws IOException {
            respond(
                    out,
                    status,
                    "Content-Type: application/json\r\n",
                    unreadable(JSON.writeValueAsBytes(body)));
        }

        /** Returns the bytes with one that is no UTF-8 in place of each {@link #UNREADABLE}. */
        private static byte[] unreadable(byte[] json) {
            String text = new String(json, StandardCharsets.ISO_8859_1);
            String mark =
                    new String(
                            UNREADABLE.getBytes(StandardCharsets.UTF_8),
                            StandardCharsets.ISO_8859_1);
            return text.contains(mark)
                    ? text.replace(mark, "\u00fc").getBytes(StandardCharsets.ISO_8859_1)
                    : json;
        }
    }

    /** One request that reached a runner. */
    record Run(double atSeconds, String runner, String requestId, String method, String target) {}

    /** A sound runner of a plain service: serves one request at a time on a connection. */
    static final class Runner implements Closeable {
        final String id;
        final String service;
        final String zone;
        final long born = System.currentTimeMillis();
        final List<Run> runs = new CopyOnWriteArrayList<>();
        final int slots;
        private final long workMillis;
        private final Listener listener;
        volatile boolean leaving;

        Runner(String ip, String id, String service, String zone, int slots, long workMillis)
                throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.workMillis = workMillis;
            listener = new Listener(ip, 0, "runner-" + id, this::serve);
        }

        String address() {
            return listener.address();
        }

        ObjectNode entry(String state) {
            ObjectNode entry = JSON.createObjectNode();
            entry.put("service", service).put("address", address()).put("zone", zone);
            entry.put("version", "v1").put("slots", slots).put("state", state);
            entry.put("coldLeftMs", 0).put("seq", 1).put("born", born);
            return entry;
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
            while (true) {
                Message request = readMessage(in);
                String requestId = request.header("bronzelug-request-id");
                String expected = request.header("bronzelug-expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    respond(out, 421, "Bronzelug-Instance-Id: " + id + "\r\n", new byte[0]);
                    continue;
                }
                runs.add(new Run(seconds(), id, requestId, request.method(), request.target()));
                log(
                        "runner %s runs %s %s",
                        id, request.method(), requestId);
                sleep(workMillis);
                String closing = leaving ? "Connection: close\r\n" : "";
                respond(
                        out,
                        200,
                        "Bronzelug-Request-Id: " + requestId + "\r\n"
                                + "Bronzelug-Response-Stamp: " + id + "." + requestId + "\r\n"
                                + "Bronzelug-Server-Load: 1,0," + slots + "\r\n"
                                + "Content-Type: text/plain\r\n" + closing,
                        ("done " + requestId).getBytes(StandardCharsets.UTF_8));
                if (leaving) {
                    return;
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** One machine: a process of the router, started with the command of the deploy file. */
    static final class Machine {
        final String name;
        final String ip;
        final int frontPort;
        final int readyPort;
        private final Path directory;
        private final Path settings;
        private final List<String> command;
        private Process process;
        private volatile double startedSeconds;

        Machine(String name, String ip, Path directory, Store store, Ports ports, boolean starts)
                throws IOException {
            this.name = name;
            this.ip = ip;
            this.directory = directory;
            this.frontPort = ports.front();
            this.readyPort = ports.ready();
            this.settings = directory.resolve(name + ".json");
            this.command = deployCommand();
            writeSettings(store, ports, starts);
        }

        private static List<String> deployCommand() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    return List.of(run.split(" "));
                }
            }
            throw new IOException("deploy/system.toml has no run line");
        }

        void writeSettings(Store store, Ports ports, boolean starts) throws IOException {
            ObjectNode root = JSON.createObjectNode();
            root.put("vm", name).put("availabilityZone", "zone-a").put("ip", ip);
            root.putObject("zones").put("zone-a", "region-1");
            root.put("callersAddress", ip + ":" + ports.front());
            root.put("readyAddress", ip + ":" + ports.ready());
            root.put("directoryAddress", ip + ":" + ports.directory());
            root.put("peersPort", ports.peers()).put("relayPort", ports.relay());
            root.putArray("seeds");
            root.put("storeAddress", store.address()).put("fleetStarts", starts);
            root.put("processorShare", 0.75).put("processorSpeed", 1);
            root.put("memoryMegabytes", 280);
            ArrayNode contracts = root.putArray("contracts");
            for (String contract :
                    List.of(
                            "base", "drain", "config", "cost", "retry", "recover", "kvcache",
                            "stream", "engine", "tenants", "quota", "platform")) {
                contracts.add(contract);
            }
            ObjectNode bounds = root.putObject("bounds");
            bounds.put("retryRatio", 0.2).put("retryWindowSeconds", 10).put("retrySlack", 54);
            bounds.put("leastVms", 8).put("leaseMillis", 3000).put("graceSeconds", 8);
            bounds.put("weightsMillis", 8000).put("changeMillis", 2000);
            bounds.put("rateSlackTokens", 72000).put("rateWindowSeconds", 8);
            Files.writeString(settings, root.toPrettyString());
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("BRONZELUG_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(
                            directory.resolve(name + ".log").toFile()));
            process = builder.start();
            startedSeconds = seconds();
            log("machine %s starts, process %d", name, process.pid());
        }

        /** Returns when the process was last started. */
        double startedSeconds() {
            return startedSeconds;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitValue() {
            return process.exitValue();
        }

        void terminate() {
            log("machine %s gets SIGTERM", name);
            process.destroy();
        }

        void kill() {
            if (process == null) {
                return;
            }
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write(
                                "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                        .getBytes(StandardCharsets.ISO_8859_1));
                return readMessage(new BufferedInputStream(socket.getInputStream())).status()
                        == 200;
            } catch (IOException unreachable) {
                return false;
            }
        }

        boolean awaitReady(long millis) {
            long end = System.nanoTime() + millis * 1_000_000L;
            while (System.nanoTime() < end) {
                if (isReady()) {
                    log("machine %s is ready", name);
                    return true;
                }
                sleep(50);
            }
            return false;
        }
    }

    /** The ports of all machines. */
    record Ports(int front, int ready, int directory, int peers, int relay) {
        static Ports free(String ip) throws IOException {
            return new Ports(
                    freePort(ip), freePort(ip), freePort(ip), freePort(ip), freePort(ip));
        }
    }

    /** What a requester got. Status 0: the connection ended; -1: nothing within its time limit. */
    record Answer(int status, String stamp, String body, double seconds) {}

    /** A requester's connection, kept for many requests. */
    static final class Connection implements Closeable {
        private final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;
        final AtomicBoolean closing = new AtomicBoolean();

        Connection(String ip, int port) throws IOException {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
        }

        Answer call(
                String method, String host, String path, String id, String key, int limitMillis,
                byte[] body) {
            long start = System.nanoTime();
            try {
                socket.setSoTimeout(limitMillis);
                String head =
                        method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
                                + "Bronzelug-Request-Id: " + id + "\r\n"
                                + "Bronzelug-Deadline-Ms: " + limitMillis + "\r\n"
                                + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
                                + (body.length > 0 || method.equals("POST")
                                        ? "Content-Length: " + body.length + "\r\n"
                                        : "")
                                + "\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
                Message answer = readMessage(in);
                if (answer.header("connection").equalsIgnoreCase("close")) {
                    closing.set(true);
                }
                return new Answer(
                        answer.status(),
                        answer.header("bronzelug-response-stamp"),
                        new String(answer.body, StandardCharsets.UTF_8),
                        (System.nanoTime() - start) / 1e9);
            } catch (java.net.SocketTimeoutException late) {
                closing.set(true);
                return new Answer(-1, "", "", (System.nanoTime() - start) / 1e9);
            } catch (IOException ended) {
                closing.set(true);
                return new Answer(0, "", "", (System.nanoTime() - start) / 1e9);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Builds a manifest with one plain service, an unsafe and a safe route, and one tenant. */
    static ObjectNode manifest(long version, String service, int maximumConnections) {
        return manifest(version, service, maximumConnections, 5_000);
    }

    static ObjectNode manifest(
            long version, String service, int maximumConnections, int timeoutMillis) {
        ObjectNode manifest = JSON.createObjectNode();
        manifest.put("version", version);
        ArrayNode routes = manifest.putArray("routes");
        route(routes, "r-book", "/book/", "unsafe", service, 1, timeoutMillis);
        route(routes, "r-read", "/read/", "safe", service, 2, timeoutMillis);
        ObjectNode pool = manifest.putArray("services").addObject();
        pool.put("name", service).put("healthPath", "/health");
        pool.put("maxConns", maximumConnections).put("protocol", "h1").put("tls", false);
        ObjectNode limits = manifest.putObject("limits");
        limits.put("maxHeaderBytes", 16384).put("maxBodyBytes", 4194304);
        limits.put("headerTimeoutMs", 3000).put("idleTimeoutMs", 15000);
        ObjectNode tenant = manifest.putArray("tenants").addObject();
        tenant.put("name", "tenant-1").put("priority", 1).put("unit", "token_stream");
        tenant.putArray("apiKeys").add("key-1");
        tenant.put("plainTokens", 200).put("dedicated", false);
        tenant.put("ratePerS", 1000000).put("burst", 1000000);
        return manifest;
    }

    private static void route(
            ArrayNode routes, String name, String prefix, String kind, String service,
            int attempts, int timeoutMillis) {
        ObjectNode route = routes.addObject();
        route.put("name", name).put("host", "shop.example").put("pathPrefix", prefix);
        route.put("kind", kind).put("timeoutMs", timeoutMillis).put("goalMs", 150).put("priority", 1);
        route.put("service", service).put("maxAttempts", attempts).put("anonymous", false);
        route.put("sticky", false);
    }

    /** Ends the machines when this process ends, also by a signal or after {@code millis}. */
    static void guard(List<Machine> machines, long millis) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> machines.forEach(Machine::kill), "guard"));
        background(
                "limit",
                () -> {
                    sleep(millis);
                    log("the run took too long");
                    System.exit(2);
                });
    }

    /** Removes the temporary folder of a run. */
    static void deleteTree(Path directory, List<Machine> machines) throws IOException {
        for (Machine machine : machines) {
            Path log = directory.resolve(machine.name + ".log");
            Files.deleteIfExists(log);
            Files.deleteIfExists(machine.settings);
        }
        Files.deleteIfExists(directory);
    }

    static <K, V> Map<K, V> map() {
        return new ConcurrentHashMap<>();
    }
}
