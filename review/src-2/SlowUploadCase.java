import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A daemon gets SIGTERM while callers upload the bodies of requests for streams that may run once. Checks LOST: a request
 * whose last byte was sent later than 3 s after the SIGTERM, and that was passed on, gets its whole answer.
 */
final class SlowUploadCase {
    private static final int SHORT_EVENTS = 3;
    private static final int LONG_EVENTS = 47;
    private static final int GAP_MILLIS = 100;
    private static final int USUAL_REQUESTS = 70;
    private static final int BODY_BYTES = 18_000;
    private static final long CONNECT_MILLIS = 2_100;
    private static final long LAST_BYTE_MILLIS = 3_300;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private SlowUploadCase() {}

    private record Answer(int status, int events, boolean complete) {}

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
                {"version":7,"routes":[{"name":"r-pages","host":"pages.example","pathPrefix":"/pages/","kind":"streaming",
                "timeoutMs":6000,"goalMs":800,"priority":1,"service":"llm","maxAttempts":1,"anonymous":false,"sticky":true,
                "resumable":false,"gapAimMs":500}],"services":[{"name":"llm","healthPath":"/health","maxConns":480,
                "protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":82259,"kvTokenBytes":262144,
                "linkMbps":1100000.0,"moves":true,"backups":true,"stride":4,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,
                "handle_s":5.0,"models":[{"name":"model-a"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"team-a","apiKeys":["key-a"],"priority":1,
                "unit":"token_stream","plainTokens":200,"dedicated":false,"ratePerS":1163370,"burst":1163370}]}
                """);
        store.put("versions", ModelRunner.MODEL, "{\"model\":\"model-a\",\"version\":1}");
        List<ModelRunner.Run> runs = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            new ModelRunner("runner-" + index, store, record, runs, 500, GAP_MILLIS, 30);
        }
        Daemons daemons = new Daemons(work, store.address(), 3);
        int result = 2;
        try {
            daemons.startAll();
            Daemons.Daemon daemon = daemons.all.get(0);
            record.line("all daemons are ready");
            usualTraffic(daemon, record);
            // Streams that are in progress at the SIGTERM, and end in time.
            for (int caller = 0; caller < 2; caller++) {
                Thread.startVirtualThread(
                        () -> call(daemon, LONG_EVENTS, record, System.nanoTime(), System.nanoTime()));
            }
            Thread.sleep(500);
            long start = System.nanoTime();
            if (trouble) {
                record.line("SIGTERM to " + daemon.name);
                Daemons.signal(daemon, "TERM");
            }
            List<Answer> answers = new ArrayList<>();
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < 3; caller++) {
                callers.add(Thread.startVirtualThread(() -> {
                    Answer answer = call(daemon, LONG_EVENTS, record, start + CONNECT_MILLIS * 1_000_000,
                            start + LAST_BYTE_MILLIS * 1_000_000);
                    synchronized (answers) {
                        answers.add(answer);
                    }
                }));
            }
            for (Thread caller : callers) {
                caller.join();
            }
            // A refusal as not run, or an answer, is right; a broken answer is not.
            boolean lost = answers.stream().anyMatch(answer -> answer.events() > 0 && !answer.complete());
            boolean refused = answers.stream().allMatch(answer -> answer.status() == 503 || answer.complete());
            record.line("answers=" + answers + " lost=" + lost);
            result = lost ? 1 : refused ? 0 : 2;
        } finally {
            daemons.stopAll();
        }
        return result;
    }

    private static void usualTraffic(Daemons.Daemon daemon, Record record) throws InterruptedException {
        AtomicInteger left = new AtomicInteger(USUAL_REQUESTS);
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < 5; caller++) {
            callers.add(Thread.startVirtualThread(() -> {
                while (left.getAndDecrement() > 0) {
                    call(daemon, SHORT_EVENTS, record, System.nanoTime(), System.nanoTime());
                }
            }));
        }
        for (Thread caller : callers) {
            caller.join();
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
    }

    private static Answer call(
            Daemons.Daemon daemon, int events, Record record, long connectNanos, long lastByteNanos) {
        String id = String.format("%016x", NEXT.incrementAndGet() + 0x9c41d07b00000000L);
        int status = 0;
        int received = 0;
        try (Socket socket = new Socket()) {
            sleepUntil(connectNanos);
            socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1_000);
            socket.setSoTimeout(8_000);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);
            String head = "POST /pages/2f HTTP/1.1\r\nHost: pages.example\r\nBronzelug-Request-Id: " + id
                    + "\r\nBronzelug-Model: model-a\r\nBronzelug-Token-Count: 700," + events
                    + "\r\nBronzelug-Prompt-Prefix: 5c1e07a2:100," + id.substring(8) + ":600\r\nBronzelug-Deadline-Ms: 6000"
                    + "\r\nAuthorization: Bearer key-a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(body, 0, BODY_BYTES / 2);
            out.flush();
            record.line("sends " + id + ", " + events + " events");
            sleepUntil(lastByteNanos);
            out.write(body, BODY_BYTES / 2, BODY_BYTES - BODY_BYTES / 2);
            out.flush();
            record.line("sent the last byte of " + id);
            Http.Message answer = Http.readHead(in);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            status = answer.status();
            if (status == 200) {
                while (Http.readChunk(in).length > 0) {
                    received++;
                }
            }
            record.line("answered " + id + " " + status + " complete, pieces=" + received);
            return new Answer(status, received, status == 200);
        } catch (IOException broken) {
            record.line("broken " + id + " status=" + status + " pieces=" + received + " " + broken);
            return new Answer(status, received, false);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
            return new Answer(status, received, false);
        }
    }
}
