import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The platform's store on loopback: objects by kind and name, conditional writes and watches. */
final class Store {
    private record Event(long revision, String kind, Map<String, Object> object, boolean removed) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final ServerSocket server;
    private final Map<String, Set<Socket>> waiting = new HashMap<>();
    private long revision = 100;

    Store() throws IOException {
        server = new ServerSocket(Daemons.freePort(), 200, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread.startVirtualThread(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The stand-in ends.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            Http.Message call;
            while ((call = Http.read(in)) != null) {
                Answer answer = answer(call, socket);
                byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                Http.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length + "\r\n\r\n",
                        body);
            }
        } catch (IOException | InterruptedException gone) {
            // The daemon has closed the connection.
        }
    }

    private record Answer(int status, String body) {}

    private Answer answer(Http.Message call, Socket socket) throws InterruptedException {
        String target = call.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new LinkedHashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), decoded(pair.substring(equals + 1)));
            }
        }
        String[] parts = path.split("/");
        String kind = parts[2];
        String name = parts.length > 3 ? decoded(parts[3]) : null;
        boolean status = parts.length > 4;
        return switch (call.method()) {
            case "GET" -> name != null ? one(kind, name)
                    : query.containsKey("watch") ? watch(kind, query, socket) : list(kind, query);
            case "POST" -> create(kind, Json.object(call.text()));
            case "PUT" -> replace(kind, name, status, Json.object(call.text()), query);
            case "DELETE" -> delete(kind, name, query);
            default -> new Answer(405, "{}");
        };
    }

    private static String decoded(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private synchronized Answer one(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? new Answer(404, "{}") : new Answer(200, Json.write(object));
    }

    private synchronized Answer list(String kind, Map<String, String> query) {
        Map<String, Object> page = new LinkedHashMap<>();
        String after = query.getOrDefault("after", "");
        page.put("items", List.copyOf(kind(kind).tailMap(after, false).values()));
        page.put("hasMore", false);
        page.put("storeRevision", revision);
        return new Answer(200, Json.write(page));
    }

    private synchronized Answer watch(String kind, Map<String, String> query, Socket socket)
            throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        List<Object> found = eventsAfter(kind, since);
        Set<Socket> watches = waiting.computeIfAbsent(kind, key -> new HashSet<>());
        watches.add(socket);
        while (found.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            found = eventsAfter(kind, since);
        }
        watches.remove(socket);
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("events", found);
        answer.put("storeRevision", revision);
        return new Answer(200, Json.write(answer));
    }

    private List<Object> eventsAfter(String kind, long since) {
        List<Object> found = new ArrayList<>();
        for (Event event : events) {
            if (event.revision > since && event.kind.equals(kind)) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("removed", event.removed);
                entry.put("object", event.object);
                found.add(entry);
            }
        }
        return found;
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer create(String kind, Map<String, Object> body) {
        Map<String, Object> metadata = (Map<String, Object>) body.get("metadata");
        String name = (String) metadata.get("name");
        if (kind(kind).containsKey(name)) {
            return new Answer(409, Json.write(kind(kind).get(name)));
        }
        return new Answer(200, Json.write(put(kind, name, body.get("spec"), null)));
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer replace(
            String kind, String name, boolean status, Map<String, Object> body, Map<String, String> query) {
        Map<String, Object> known = kind(kind).get(name);
        if (known == null) {
            return new Answer(404, "{}");
        }
        Map<String, Object> metadata = (Map<String, Object>) body.getOrDefault("metadata", Map.of());
        Object expected = metadata.containsKey("rev") ? metadata.get("rev")
                : query.containsKey("rev") ? Long.valueOf(query.get("rev")) : null;
        if (expected != null && !expected.equals(revisionOf(known))) {
            return new Answer(409, Json.write(known));
        }
        Object spec = status ? known.get("spec") : body.get("spec");
        Object newStatus = status ? body.get("status") : known.get("status");
        return new Answer(200, Json.write(put(kind, name, spec, newStatus)));
    }

    @SuppressWarnings("unchecked")
    private static Object revisionOf(Map<String, Object> object) {
        return ((Map<String, Object>) object.get("metadata")).get("rev");
    }

    private synchronized Answer delete(String kind, String name, Map<String, String> query) {
        Map<String, Object> known = kind(kind).get(name);
        if (known == null) {
            return new Answer(404, "{}");
        }
        if (query.containsKey("rev") && !Long.valueOf(query.get("rev")).equals(revisionOf(known))) {
            return new Answer(409, Json.write(known));
        }
        remove(kind, name);
        return new Answer(200, "{}");
    }

    /** Writes an object as the operator or a server does; returns it. */
    synchronized Map<String, Object> put(String kind, String name, Object spec, Object status) {
        Map<String, Object> known = kind(kind).get(name);
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("rev", revision);
        metadata.put("createRev", known == null ? revision : createRevision(known));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", status);
        kind(kind).put(name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
        return object;
    }

    @SuppressWarnings("unchecked")
    private static Object createRevision(Map<String, Object> object) {
        return ((Map<String, Object>) object.get("metadata")).get("createRev");
    }

    /** Writes an object from JSON text. */
    void put(String kind, String name, String spec) {
        put(kind, name, Json.parse(spec), null);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = kind(kind).remove(name);
        events.add(new Event(++revision, kind, known, true));
        notifyAll();
    }

    /** Cuts off the watches of a kind that are waiting. */
    synchronized int cutWatches(String kind) throws IOException {
        Set<Socket> watches = waiting.getOrDefault(kind, Set.of());
        int count = watches.size();
        for (Socket socket : watches) {
            socket.close();
        }
        watches.clear();
        return count;
    }

    void close() throws IOException {
        server.close();
    }
}
