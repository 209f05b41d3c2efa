import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store cuts off the waiting watches of the servers, and the entry of a runner that leaves is removed a moment later.
 * Checks DRAIN: no request reaches the runner later than drainMs after the store has accepted the removal.
 */
final class WatchCutCase {
    private static final int CALLERS = 30;
    private static final int TRIALS = 4;
    private static final long CUT_TO_REMOVAL_MILLIS = 20;
    private static final long DRAIN_MILLIS = 2_000;
    /** How much longer the runner serves. */
    private static final long LITTLE_LONGER_MILLIS = 120;
    private static final int WORK_MILLIS = 22;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private WatchCutCase() {}

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
                {"version":7,"routes":[{"name":"r-read","host":"shop.example","pathPrefix":"/read/","kind":"safe",
                "timeoutMs":600,"goalMs":121,"priority":2,"service":"shop","maxAttempts":2,"anonymous":false,"sticky":false},
                {"name":"r-book","host":"shop.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":600,"goalMs":121,
                "priority":2,"service":"shop","maxAttempts":1,"anonymous":false,"sticky":false}],
                "services":[{"name":"shop","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"team-a","apiKeys":["key-a"],"priority":1,"unit":"token_stream","plainTokens":200,
                "dedicated":false,"ratePerS":11633700,"burst":11633700}]}
                """);
        for (int index = 1; index <= 3; index++) {
            new AppRunner("runner-" + index, "shop", store, record, WORK_MILLIS);
        }
        Daemons daemons = new Daemons(work, store.address(), 3);
        int result = 2;
        try {
            daemons.startAll();
            record.line("all daemons are ready");
            AtomicBoolean end = new AtomicBoolean();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger lostUnsafe = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                Daemons.Daemon daemon = daemons.all.get(caller % daemons.all.size());
                boolean safe = caller % 2 == 0;
                callers.add(Thread.startVirtualThread(
                        () -> callUntil(end, daemon, safe, record, served, lostUnsafe)));
            }
            int late = 0;
            for (int trial = 1; trial <= TRIALS; trial++) {
                AppRunner leaving = new AppRunner("runner-l" + trial, "shop", store, record, WORK_MILLIS);
                Thread.sleep(3_500);
                late += leave(leaving, store, record, trouble);
            }
            end.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            record.line("served=" + served + " late=" + late + " unsafe requests without an answer of a runner="
                    + lostUnsafe);
            result = late > 0 ? 1 : served.get() > 100 ? 0 : 2;
        } finally {
            daemons.stopAll();
        }
        return result;
    }

    /** Has a runner leave that never reports draining; returns the number of requests that reached it too late. */
    private static int leave(AppRunner leaving, Store store, Record record, boolean trouble) throws Exception {
        if (trouble) {
            record.line("the store cuts off " + store.cutWatches("servers") + " waiting watches");
            Thread.sleep(CUT_TO_REMOVAL_MILLIS);
        }
        store.remove("servers", leaving.id);
        long removedNanos = System.nanoTime();
        record.line("the entry of " + leaving.id + " is removed");
        Thread.sleep(DRAIN_MILLIS + LITTLE_LONGER_MILLIS);
        leaving.exit();
        int late = 0;
        long latest = 0;
        for (Map.Entry<String, Long> arrived : leaving.arrivedNanos.entrySet()) {
            long millis = TimeUnit.NANOSECONDS.toMillis(arrived.getValue() - removedNanos);
            latest = Math.max(latest, millis);
            if (millis > DRAIN_MILLIS) {
                late++;
                record.line("DRAIN " + arrived.getKey() + " reached " + leaving.id + " " + millis
                        + " ms after its removal");
            }
        }
        record.line(leaving.id + " got " + leaving.arrivedNanos.size() + " requests, the last one " + latest
                + " ms after its removal; late=" + late);
        return late;
    }

    private static void callUntil(
            AtomicBoolean end, Daemons.Daemon daemon, boolean safe, Record record, AtomicInteger served,
            AtomicInteger lostUnsafe) {
        while (!end.get()) {
            String id = "-";
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1_000);
                socket.setSoTimeout(3_000);
                InputStream in = Http.buffered(socket.getInputStream());
                boolean open = true;
                while (open && !end.get()) {
                    id = String.format("%016x", NEXT.incrementAndGet() + 0x9c41d07b00000000L);
                    open = call(id, safe, socket, in, record, served, lostUnsafe);
                }
            } catch (IOException broken) {
                record.line("closed without an answer " + id + " " + broken.getMessage());
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static boolean call(
            String id, boolean safe, Socket socket, InputStream in, Record record, AtomicInteger served,
            AtomicInteger lostUnsafe) throws IOException, InterruptedException {
        Thread.sleep(20);
        record.line("sent " + id + (safe ? " safe" : " unsafe"));
        String head = safe ? "GET /read/2f" : "POST /book/2f";
        byte[] body = (safe ? "" : "x".repeat(600)).getBytes(StandardCharsets.US_ASCII);
        Http.write(socket.getOutputStream(), head + " HTTP/1.1\r\nHost: shop.example\r\nBronzelug-Request-Id: " + id
                + "\r\nBronzelug-Deadline-Ms: 600\r\nAuthorization: Bearer key-a\r\n"
                + (safe ? "" : "Content-Length: 600\r\n") + "\r\n", body);
        Http.Message answer = Http.read(in);
        if (answer == null) {
            throw new IOException("closed without an answer");
        }
        record.line("answered " + id + " " + answer.status());
        if (answer.status() == 200) {
            served.incrementAndGet();
        } else if (!safe && answer.status() == 502) {
            lostUnsafe.incrementAndGet();
        }
        return !answer.field("connection").equalsIgnoreCase("close");
    }
}
