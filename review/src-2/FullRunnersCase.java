import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests on kept connections, while some application runners are at their connection limit and another one sheds.
 * Checks LOST and MIXED.
 */
final class FullRunnersCase {
    private static final int CALLERS = 40;
    private static final double SHED_SHARE = 0.4;
    private static final int RUNNERS = 4;
    private static final int LIMITED = 2;
    private static final int GREY = 3;
    private static final int OTHERS = 94;
    private static final int LOAD_MILLIS = 60_000;
    private static final int PAUSE_MILLIS = 2_000;
    private static final int SHED_MILLIS = 6_500;
    private static final int THINK_MILLIS = 60;
    private static final int WORK_MILLIS = 22;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private FullRunnersCase() {}

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
                {"version":7,"routes":[{"name":"r-read","host":"tab.example","pathPrefix":"/read/","kind":"safe",
                "timeoutMs":900,"goalMs":121,"priority":2,"service":"tab","maxAttempts":2,"anonymous":false,"sticky":false},
                {"name":"r-settle","host":"tab.example","pathPrefix":"/settle/","kind":"unsafe","timeoutMs":900,"goalMs":121,
                "priority":2,"service":"tab","maxAttempts":1,"anonymous":false,"sticky":false}],
                "services":[{"name":"tab","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"team-a","apiKeys":["key-a"],"priority":1,"unit":"token_stream","plainTokens":200,
                "dedicated":false,"ratePerS":11633700,"burst":11633700}]}
                """);
        List<AppRunner> runners = new ArrayList<>();
        for (int index = 1; index <= RUNNERS; index++) {
            runners.add(new AppRunner("runner-" + index, "tab", store, record, WORK_MILLIS));
        }
        Daemons daemons = new Daemons(work, store.address(), 3);
        int result = 2;
        try {
            daemons.startAll();
            record.line("all daemons are ready");
            List<Socket> others = new ArrayList<>();
            for (AppRunner runner : runners.subList(0, LIMITED)) {
                others.addAll(runner.connectOthers(OTHERS));
                record.line("other callers hold " + OTHERS + " of the " + AppRunner.MAX_CONNS + " connections of "
                        + runner.id);
            }
            if (trouble) {
                Thread.startVirtualThread(() -> shedByTurns(runners.get(GREY), record));
            }
            List<Thread> callers = new ArrayList<>();
            List<String> lost = new ArrayList<>();
            List<String> mixed = new ArrayList<>();
            Map<Integer, Integer> answers = new TreeMap<>();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MILLIS);
            for (int caller = 0; caller < CALLERS; caller++) {
                boolean safe = caller % 2 == 0;
                callers.add(Thread.startVirtualThread(
                        () -> callUntil(end, daemons.all.get(0), safe, record, lost, mixed, answers)));
            }
            for (Thread caller : callers) {
                caller.join();
            }
            // LOST counts what went from a kept connection to a sound runner: not the one that sheds, last.
            lost.removeIf(line -> !line.contains("kept") || !isLastAtSound(line.split(" ")[1].replace(":", ""), runners));
            record.line("answers by status " + answers + " lost=" + lost.size() + " mixed=" + mixed.size());
            lost.forEach(record::line);
            mixed.forEach(record::line);
            boolean served = answers.getOrDefault(200, 0) > 100;
            // LOST allows three.
            result = lost.size() > 3 || !mixed.isEmpty() ? 1 : served ? 0 : 2;
            others.forEach(FullRunnersCase::close);
        } finally {
            daemons.stopAll();
        }
        return result;
    }

    private static boolean isLastAtSound(String id, List<AppRunner> runners) {
        String last = "";
        long latest = 0;
        for (AppRunner runner : runners) {
            Long nanos = runner.begunNanos.get(id);
            if (nanos != null && nanos > latest) {
                latest = nanos;
                last = runner.id;
            }
        }
        return !last.isEmpty() && !last.equals(runners.get(GREY).id);
    }

    /** The runner rejects a share of its requests for some seconds, again and again; its health check is good. */
    private static void shedByTurns(AppRunner runner, Record record) {
        try {
            while (true) {
                Thread.sleep(PAUSE_MILLIS);
                record.line(runner.id + " sheds " + SHED_SHARE + " of its requests");
                runner.shed(SHED_SHARE);
                Thread.sleep(SHED_MILLIS);
                record.line(runner.id + " sheds none");
                runner.shed(0);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed anyway.
        }
    }

    private static void callUntil(
            long end, Daemons.Daemon daemon, boolean safe, Record record, List<String> lost, List<String> mixed,
            Map<Integer, Integer> answers) {
        while (System.nanoTime() < end) {
            String id = "-";
            int onConnection = 0;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1_000);
                socket.setSoTimeout(3_000);
                InputStream in = Http.buffered(socket.getInputStream());
                boolean open = true;
                while (open && System.nanoTime() < end) {
                    id = String.format("%016x", NEXT.incrementAndGet() + 0x9c41d07b00000000L);
                    onConnection++;
                    open = call(id, safe, socket, in, record, mixed, answers);
                }
            } catch (IOException broken) {
                record.line("closed without an answer " + id + " " + broken.getMessage());
                synchronized (lost) {
                    lost.add("LOST " + id + ": " + (onConnection > 1 ? "on a kept connection, request " : "request ")
                            + onConnection + ", " + broken.getMessage());
                }
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static boolean call(
            String id, boolean safe, Socket socket, InputStream in, Record record, List<String> mixed,
            Map<Integer, Integer> answers) throws IOException, InterruptedException {
        Thread.sleep(ThreadLocalRandom.current().nextInt(2 * THINK_MILLIS + 1));
        record.line("sent " + id + (safe ? " safe" : " unsafe"));
        String body = safe ? "" : "x".repeat(600);
        String head = safe ? "GET /read/2f" : "POST /settle/2f";
        Http.write(socket.getOutputStream(), head + " HTTP/1.1\r\nHost: tab.example\r\nBronzelug-Request-Id: " + id
                + "\r\nBronzelug-Deadline-Ms: 1000\r\nAuthorization: Bearer key-a\r\n"
                + (safe ? "" : "Content-Length: 600\r\n") + "\r\n", body.getBytes(StandardCharsets.US_ASCII));
        Http.Message answer = Http.read(in);
        if (answer == null) {
            throw new IOException("closed without an answer");
        }
        record.line("answered " + id + " " + answer.status());
        synchronized (answers) {
            answers.merge(answer.status(), 1, Integer::sum);
        }
        String stamp = answer.field("Bronzelug-Response-Stamp");
        if (answer.status() == 200) {
            boolean own = stamp.endsWith("." + id) && answer.text().startsWith("answer to " + id + " by ")
                    && stamp.contains("." + answer.text().split(" ")[4] + ".") && answer.text().endsWith("x".repeat(760));
            if (!own) {
                synchronized (mixed) {
                    mixed.add("MIXED " + id + ": stamp " + stamp + " body " + answer.text());
                }
            }
        } else {
            String wait = answer.field("retry-after");
            Thread.sleep(wait.isEmpty() ? 100 : Math.min(333, (long) (1000 * Double.parseDouble(wait))));
        }
        return !answer.field("connection").equalsIgnoreCase("close");
    }
}
