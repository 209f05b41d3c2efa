import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers keep streams open at one daemon while some runners are at their connection limit, and new weights are named.
 * Checks TWICE and ORDER from what the runners ran and the callers got.
 */
final class ConnectionLimitCase {
    private static final int CALLERS = 36;
    private static final int RUNNERS = 4;
    private static final int LIMITED = 2;
    private static final int SHORT_EVENTS = 20;
    private static final int OTHERS = 470;
    private static final int VERSIONS = 24;
    private static final int VERSION_MILLIS = 3_200;
    private static final int EVENTS = 40;
    private static final int LOAD_MILLIS = 80_000;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private ConnectionLimitCase() {}

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
                "resumable":true,"gapAimMs":500}],"services":[{"name":"llm","healthPath":"/health","maxConns":480,
                "protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":82259,"kvTokenBytes":262144,
                "linkMbps":1100000.0,"moves":true,"backups":true,"stride":4,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,
                "handle_s":5.0,"models":[{"name":"model-a"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"team-a","apiKeys":["key-a"],"priority":1,
                "unit":"token_stream","plainTokens":200,"dedicated":false,"ratePerS":1163370,"burst":1163370}]}
                """);
        store.put("versions", ModelRunner.MODEL, "{\"model\":\"model-a\",\"version\":1}");
        List<ModelRunner.Run> runs = new ArrayList<>();
        List<ModelRunner> runners = new ArrayList<>();
        for (int index = 1; index <= RUNNERS; index++) {
            runners.add(new ModelRunner("runner-" + index, store, record, runs, EVENTS, 25, 30));
        }
        Daemons daemons = new Daemons(work, store.address(), 3);
        int result = 2;
        try {
            daemons.startAll();
            record.line("all daemons are ready");
            List<Thread> callers = new ArrayList<>();
            List<String> faults = new ArrayList<>();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MILLIS);
            AtomicInteger complete = new AtomicInteger();
            Daemons.Daemon daemon = daemons.all.get(0);
            for (int caller = 0; caller < CALLERS; caller++) {
                int length = caller % 2 == 0 ? EVENTS : SHORT_EVENTS;
                callers.add(Thread.startVirtualThread(() -> {
                    while (System.nanoTime() < end) {
                        callOnOneConnection(daemon, length, end, record, faults, complete);
                    }
                }));
            }
            Thread.sleep(2_000);
            List<Socket> others = new ArrayList<>();
            // These runners accept fewer connections than the daemon has requests for them at times.
            for (ModelRunner runner : runners.subList(0, LIMITED)) {
                others.addAll(runner.connectOthers(OTHERS));
                record.line("other callers hold " + OTHERS + " of the " + ModelRunner.MAX_CONNS
                        + " connections of " + runner.id);
            }
            for (int version = 2; trouble && version <= VERSIONS; version++) {
                Thread.sleep(VERSION_MILLIS);
                record.line("version " + version + " of the weights is named");
                store.put("versions", ModelRunner.MODEL, "{\"model\":\"model-a\",\"version\":" + version + "}");
            }
            for (Thread caller : callers) {
                caller.join();
            }
            Thread.sleep(2_500);
            result = judge(runs, faults, complete.get(), record);
        } finally {
            daemons.stopAll();
        }
        return result;
    }

    private static ModelRunner busiest(List<ModelRunner> runners, List<ModelRunner.Run> runs) {
        synchronized (runs) {
            return runners.stream()
                    .max(Comparator.comparingLong(
                            runner -> runs.stream().filter(run -> run.runner().equals(runner.id)).count()))
                    .orElseThrow();
        }
    }

    /** Sends requests one after the other, until the connection ends. */
    private static void callOnOneConnection(
            Daemons.Daemon daemon, int length, long end, Record record, List<String> faults, AtomicInteger complete) {
        String id = "-";
        boolean answered = true;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1_000);
            socket.setSoTimeout(16_000);
            InputStream in = Http.buffered(socket.getInputStream());
            boolean open = true;
            while (open && System.nanoTime() < end) {
                id = String.format("%016x", NEXT.incrementAndGet() + 0x9c41d07b00000000L);
                answered = false;
                open = call(id, socket, in, length, record, faults, complete);
                answered = true;
            }
        } catch (IOException | RuntimeException broken) {
            record.line("broken " + id + " " + broken);
            if (!answered) {
                synchronized (faults) {
                    faults.add("LOST " + id + ": its connection was closed without a complete answer");
                }
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the connection stays open. */
    private static boolean call(
            String id, Socket socket, InputStream in, int length, Record record, List<String> faults,
            AtomicInteger complete) throws IOException, InterruptedException {
        record.line("sent " + id);
        Http.write(socket.getOutputStream(), "POST /chat/2f HTTP/1.1\r\nHost: chat.example\r\nBronzelug-Request-Id: "
                + id + "\r\nBronzelug-Model: model-a\r\nBronzelug-Token-Count: 700," + length + "\r\nBronzelug-Prompt-Prefix: "
                + "5c1e07a2:100," + id.substring(8) + ":600\r\nBronzelug-Deadline-Ms: 15000\r\nAuthorization: Bearer key-a"
                + "\r\nContent-Length: 4\r\n\r\n", "abcd".getBytes(StandardCharsets.US_ASCII));
        Http.Message head = Http.readHead(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        if (head.status() != 200) {
            record.line("answered " + id + " " + head.status() + " after Retry-After " + head.field("retry-after"));
            String wait = head.field("retry-after");
            Thread.sleep(wait.isEmpty() ? 300 : Math.min(3_000, (long) (1000 * Double.parseDouble(wait))));
            in.readNBytes(Integer.parseInt(head.field("content-length")));
            return !head.field("connection").equalsIgnoreCase("close");
        }
        StringBuilder body = new StringBuilder();
        byte[] chunk;
        while ((chunk = Http.readChunk(in)).length > 0) {
            body.append(new String(chunk, StandardCharsets.US_ASCII));
        }
        complete.incrementAndGet();
        StringBuilder expected = new StringBuilder();
        int event = 0;
        boolean whole = true;
        boolean mixed = false;
        List<Integer> parts = new ArrayList<>();
        for (String piece : body.toString().split("\n\n")) {
            event++;
            String[] lines = piece.split("\n");
            boolean readable = lines.length == 2 && lines[0].equals("id: " + event)
                    && lines[1].matches("data: runner-\\d run \\d+ token " + event);
            whole &= readable;
            int run = readable ? Integer.parseInt(lines[1].split(" ")[3]) : 0;
            int latest = parts.isEmpty() ? 0 : parts.getLast();
            // A later run may go on, but no piece of an earlier one may follow.
            mixed |= run < latest;
            if (run != latest) {
                parts.add(run);
            }
        }
        whole &= event == length;
        record.line("answered " + id + " 200 complete, events=" + event + " of runs " + parts);
        if (!whole || mixed) {
            synchronized (faults) {
                faults.add("ORDER " + id + ": " + event + " events of runs " + parts
                        + (mixed ? ", pieces of two runs are joined" : ", a piece is missing or spoilt"));
            }
        }
        return !head.field("connection").equalsIgnoreCase("close");
    }

    /** TWICE: a request goes on elsewhere while the runner before still works on it 400 ms later. */
    private static int judge(List<ModelRunner.Run> runs, List<String> faults, int complete, Record record) {
        Map<String, ModelRunner.Run> last = new HashMap<>();
        int moved = 0;
        synchronized (runs) {
            for (ModelRunner.Run run : runs) {
                ModelRunner.Run before = last.put(run.request(), run);
                if (before == null) {
                    continue;
                }
                moved++;
                long end = before.end()[0] == null ? record.millis() : before.endMillis()[0];
                if (end > run.beginMillis() + 400) {
                    faults.add("TWICE " + run.request() + ": at " + run.runner() + " from " + run.beginMillis()
                            + ", still at " + before.runner() + " until " + end);
                }
            }
        }
        record.line("complete=" + complete + " moved=" + moved + " faults=" + faults.size());
        faults.forEach(record::line);
        if (complete < 100) {
            return 2;
        }
        // What was LOST is recorded, and is the matter of FullRunnersCase.
        return faults.stream().allMatch(fault -> fault.startsWith("LOST")) ? 0 : 1;
    }
}
