import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner reports draining while a machine reads the list of runners, which has two pages. The
 * runner serves on for some seconds, as the pages allow, and exits.
 */
public final class LeavingRunner {
    private static final String SERVICE = "shop";
    private static final int DRAIN_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;

    /** How long the runner serves after the store has accepted its report. */
    private static final int SERVES_MILLIS = 9_000;

    private static final int FOREIGN_ENTRIES = 50;
    private static final int WORK_MILLIS = 80;
    private static final int CLIENTS = 6;

    /** With "blind": when the runner reports after the cut of the watches. */
    private static final int BLIND_MILLIS = 80;

    private LeavingRunner() {}

    /** One answered request, with the second at which it was sent. */
    private record Call(String id, String method, double sent, Harness.Answer answer) {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !arguments[1].equals("0");
        String mode = arguments.length > 2 ? arguments[2] : "restart";
        Harness.openRecord(folder.resolve("record.txt"));
        Path directory = Files.createTempDirectory("leaving-runner");
        List<Harness.Machine> machines = new CopyOnWriteArrayList<>();
        Harness.guard(machines, 110_000);
        int result = 2;
        try {
            result = run(trouble, mode, directory, machines);
        } catch (IOException | RuntimeException failed) {
            Harness.log("could not run: %s", failed);
        } finally {
            machines.forEach(Harness.Machine::kill);
            Harness.deleteTree(directory, machines);
        }
        Harness.log("result %d", result);
        System.exit(result);
    }

    /**
     * @param mode "restart": a machine is stopped and started again, and reads the list at its
     *     start; "cut": the store cuts the waiting watches, after which all machines read it;
     *     "blind": the same, and the runner reports some time later, whatever the machines read
     */
    private static int run(
            boolean trouble, String mode, Path directory, List<Harness.Machine> machines)
            throws IOException {
        Harness.Store store = new Harness.Store("127.0.0.1");
        List<Harness.Runner> runners = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            Harness.Runner runner =
                    new Harness.Runner(
                            "127.0.0.1", "i-000" + number, SERVICE, "zone-a", 6, WORK_MILLIS);
            runners.add(runner);
            store.put("servers", runner.id, runner.entry("ready"));
        }
        Harness.Runner leaver = runners.get(0);
        // Entries of another writer without the fields of a runner: the list has two pages.
        for (int number = 1; number <= FOREIGN_ENTRIES; number++) {
            ObjectNode foreign = Harness.JSON.createObjectNode();
            foreign.put("note", number);
            store.put("servers", String.format("z-note-%02d", number), foreign);
        }
        store.put("config", "main", Harness.manifest(7, SERVICE, 100));
        Harness.Ports ports = Harness.Ports.free("127.0.0.1");
        for (int number = 1; number <= 3; number++) {
            machines.add(
                    new Harness.Machine(
                            "front-" + number, "127.0.0." + (10 + number), directory, store,
                            ports, true));
        }
        for (Harness.Machine machine : machines) {
            machine.start();
        }
        for (Harness.Machine machine : machines) {
            if (!machine.awaitReady(20_000)) {
                Harness.log("machine %s is not ready", machine.name);
                return 2;
            }
        }
        List<Call> calls = new CopyOnWriteArrayList<>();
        AtomicBoolean stop = new AtomicBoolean();
        for (Harness.Machine machine : machines) {
            for (int client = 1; client <= CLIENTS; client++) {
                String prefix = machine.name + "-" + client;
                Harness.background(prefix, () -> callUntil(stop, machine, prefix, calls));
            }
        }
        Harness.sleep(CONTACT_MILLIS + 1_000);
        double[] confirmed = new double[1];
        AtomicBoolean drained = new AtomicBoolean();
        Runnable drain =
                () -> {
                    if (drained.compareAndSet(false, true)) {
                        store.put("servers", leaver.id, leaver.entry("draining"));
                        confirmed[0] = Harness.seconds();
                        Harness.log("store confirms: %s is draining", leaver.id);
                    }
                };
        if (trouble) {
            store.onPage =
                    (kind, caller, after) -> {
                        if (kind.equals("servers")) {
                            Harness.log("store sent a page of servers to %s after '%s'", caller, after);
                            if (after.isEmpty() && !mode.equals("blind")) {
                                drain.run();
                            }
                        }
                    };
            if (mode.equals("restart")) {
                restart(machines.get(0), store, ports);
            } else {
                Harness.log("store cuts the watches that wait");
                store.cutWatches();
                Harness.sleep(mode.equals("blind") ? BLIND_MILLIS : 2_000);
            }
        }
        drain.run();
        double left = confirmed[0] + SERVES_MILLIS / 1e3;
        while (Harness.seconds() < left) {
            Harness.sleep(20);
        }
        leaver.close();
        Harness.log("runner %s exits", leaver.id);
        store.remove("servers", leaver.id);
        Harness.sleep(1_500);
        stop.set(true);
        Harness.sleep(500);
        return judge(confirmed[0], leaver, calls, machines);
    }

    /** Stops a machine by SIGTERM and starts it again when its process has ended. */
    private static void restart(Harness.Machine machine, Harness.Store store, Harness.Ports ports)
            throws IOException {
        machine.terminate();
        while (machine.isAlive()) {
            Harness.sleep(50);
        }
        Harness.log("machine %s has ended with status %d", machine.name, machine.exitValue());
        machine.writeSettings(store, ports, false);
        machine.start();
        machine.awaitReady(10_000);
    }

    private static void callUntil(
            AtomicBoolean stop, Harness.Machine machine, String prefix, List<Call> calls) {
        AtomicInteger number = new AtomicInteger();
        while (!stop.get()) {
            try {
                callOnConnection(stop, machine, prefix, number, calls);
            } catch (IOException refused) {
                // The machine is stopped; a requester would use another one meanwhile.
                Harness.sleep(100);
            }
        }
    }

    private static void callOnConnection(
            AtomicBoolean stop, Harness.Machine machine, String prefix, AtomicInteger numbers,
            List<Call> calls)
            throws IOException {
        Harness.Connection connection = new Harness.Connection(machine.ip, machine.frontPort);
        while (!stop.get() && !connection.closing.get()) {
            int number = numbers.incrementAndGet();
            String method = number % 4 == 0 ? "GET" : "POST";
            String id = prefix + "-" + number;
            double sent = Harness.seconds();
            Harness.Answer answer =
                    connection.call(
                            method, "shop.example", method.equals("GET") ? "/read/a" : "/book/a",
                            id, "key-1", 1_000, new byte[0]);
            calls.add(new Call(id, method, sent, answer));
            Harness.log(
                    "requester: %s %s sent at %.3f answered %d", method, id, sent, answer.status());
            Harness.sleep(40);
        }
        connection.close();
    }

    private static int judge(
            double confirmed, Harness.Runner leaver, List<Call> calls,
            List<Harness.Machine> machines) {
        double bound = confirmed + DRAIN_MILLIS / 1e3;
        Map<String, Integer> lateOf = Harness.map();
        for (Harness.Machine machine : machines) {
            double inTouch = machine.startedSeconds() + CONTACT_MILLIS / 1e3;
            for (Harness.Run run : leaver.runs) {
                if (run.requestId().startsWith(machine.name) && run.atSeconds() > bound
                        && run.atSeconds() > inTouch) {
                    lateOf.merge(machine.name, 1, Integer::sum);
                }
            }
        }
        AtomicInteger lost = new AtomicInteger();
        for (Call call : calls) {
            boolean ran = leaver.runs.stream().anyMatch(run -> run.requestId().equals(call.id()));
            if (call.method().equals("POST") && ran && call.answer().status() != 200) {
                lost.incrementAndGet();
            }
        }
        long alive = machines.stream().filter(Harness.Machine::isAlive).count();
        int late = lateOf.values().stream().mapToInt(Integer::intValue).sum();
        Harness.log("requests sent: %d, machines alive: %d of 3", calls.size(), alive);
        Harness.log(
                "requests that reached %s later than drainMs (%d ms) after the confirmation, from"
                        + " machines in touch: %d %s",
                leaver.id, DRAIN_MILLIS, late, lateOf);
        Harness.log("unsafe requests that ran at %s and got no result: %d", leaver.id, lost.get());
        return late > 0 ? 1 : 0;
    }
}
