import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners number the events of their streams by tens. Checks LOST: streams that were passed on to sound runners from kept
 * connections are answered to their end.
 */
final class EventIdsCase {
    private static final int CALLERS = 8;
    private static final int REQUESTS = 2;
    private static final int EVENTS = 20;
    private static final int ID_STEP = 10;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private EventIdsCase() {}

    public static void main(String[] arguments) {
        Outcome.exit(() -> run(arguments));
    }

    private static int run(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path work = Path.of(arguments[0]);
        Record record = new Record(Path.of(arguments[1]));
        record.line("trouble=" + trouble);
        Store store = new Store();
        store.put("config", "main", """
                {"version":7,"routes":[{"name":"r-chat","host":"chat.example","pathPrefix":"/chat/","kind":"streaming",
                "timeoutMs":15000,"goalMs":600,"priority":0,"service":"llm","maxAttempts":2,"anonymous":false,"sticky":true,
                "resumable":true,"gapAimMs":500}],"services":[{"name":"llm","healthPath":"/health","maxConns":490,
                "protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":82259,"kvTokenBytes":262144,
                "linkMbps":1100000.0,"moves":true,"backups":true,"stride":4,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,
                "handle_s":5.0,"models":[{"name":"model-a"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"team-a","apiKeys":["key-a"],"priority":1,
                "unit":"token_stream","plainTokens":200,"dedicated":false,"ratePerS":1163370,"burst":1163370}]}
                """);
        store.put("versions", ModelRunner.MODEL, "{\"model\":\"model-a\",\"version\":1}");
        List<ModelRunner.Run> runs = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            ModelRunner runner = new ModelRunner("runner-" + index, store, record, runs, EVENTS, 25, 30);
            runner.setIdStep(trouble ? ID_STEP : 1);
        }
        Daemons daemons = new Daemons(work, store.address(), 3);
        int result = 2;
        try {
            daemons.startAll();
            record.line("all daemons are ready");
            List<String> lost = new ArrayList<>();
            AtomicInteger complete = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                Daemons.Daemon daemon = daemons.all.get(caller % daemons.all.size());
                callers.add(Thread.startVirtualThread(() -> call(daemon, record, lost, complete)));
            }
            for (Thread caller : callers) {
                caller.join();
            }
            record.line("complete=" + complete + " lost=" + lost.size());
            lost.forEach(record::line);
            // LOST allows three.
            result = lost.size() > 3 ? 1 : complete.get() >= CALLERS ? 0 : 2;
        } finally {
            daemons.stopAll();
        }
        return result;
    }

    private static void call(Daemons.Daemon daemon, Record record, List<String> lost, AtomicInteger complete) {
        for (int round = 0; round < REQUESTS; round++) {
            String id = "-";
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1_000);
                socket.setSoTimeout(16_000);
                InputStream in = Http.buffered(socket.getInputStream());
                // A stream of one event first, so that the connection is a kept one.
                stream(newId(), 1, socket, in, record);
                id = newId();
                stream(id, EVENTS, socket, in, record);
                complete.incrementAndGet();
            } catch (IOException broken) {
                record.line("broken " + id + " " + broken.getMessage());
                synchronized (lost) {
                    lost.add("LOST " + id + ": its kept connection was closed within the answer");
                }
            }
        }
    }

    private static String newId() {
        return String.format("%016x", NEXT.incrementAndGet() + 0x9c41d07b00000000L);
    }

    private static void stream(String id, int events, Socket socket, InputStream in, Record record)
            throws IOException {
        record.line("sent " + id);
        Http.write(socket.getOutputStream(), "POST /chat/2f HTTP/1.1\r\nHost: chat.example\r\nBronzelug-Request-Id: " + id
                + "\r\nBronzelug-Model: model-a\r\nBronzelug-Token-Count: 700," + events + "\r\nBronzelug-Prompt-Prefix: "
                + "5c1e07a2:100," + id.substring(8) + ":600\r\nBronzelug-Deadline-Ms: 15000\r\nAuthorization: Bearer key-a"
                + "\r\nContent-Length: 4\r\n\r\n", "abcd".getBytes(StandardCharsets.US_ASCII));
        Http.Message head = Http.readHead(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        StringBuilder body = new StringBuilder();
        byte[] chunk;
        while ((chunk = Http.readChunk(in)).length > 0) {
            body.append(new String(chunk, StandardCharsets.US_ASCII));
        }
        record.line("answered " + id + " " + head.status() + " complete, events=" + body.toString().split("\n\n").length);
    }
}
