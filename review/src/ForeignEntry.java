import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The kind servers holds an entry of another writer that is no runner's. Then all processes are
 * killed at once and started again, while the store and all runners stay sound.
 */
public final class ForeignEntry {
    private static final String SERVICE = "shop";
    private static final int RECOVER_MILLIS = 12_000;
    private static final int MEASURED_MILLIS = 10_000;
    private static final int MACHINES = 3;

    private ForeignEntry() {}

    private record Call(double sent, int status) {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !arguments[1].equals("0");
        String variant = arguments.length > 2 ? arguments[2] : "number";
        Harness.openRecord(folder.resolve("record.txt"));
        Path directory = Files.createTempDirectory("foreign-entry");
        List<Harness.Machine> machines = new CopyOnWriteArrayList<>();
        Harness.guard(machines, 110_000);
        int result = 2;
        try {
            result = run(trouble, variant, directory, machines);
        } catch (IOException | RuntimeException failed) {
            Harness.log("could not run: %s", failed);
        } finally {
            machines.forEach(Harness.Machine::kill);
            Harness.deleteTree(directory, machines);
        }
        Harness.log("result %d", result);
        System.exit(result);
    }

    private static int run(
            boolean trouble, String variant, Path directory, List<Harness.Machine> machines)
            throws IOException {
        Harness.Store store = new Harness.Store("127.0.0.1");
        for (int number = 1; number <= 4; number++) {
            Harness.Runner runner =
                    new Harness.Runner("127.0.0.1", "i-000" + number, SERVICE, "zone-a", 6, 20);
            store.put("servers", runner.id, runner.entry("ready"));
        }
        store.put("config", "main", Harness.manifest(7, SERVICE, 100));
        Harness.Ports ports = Harness.Ports.free("127.0.0.1");
        for (int number = 1; number <= MACHINES; number++) {
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
                Harness.log("machine %s is not ready at the first start", machine.name);
                return 2;
            }
        }
        List<Call> calls = new CopyOnWriteArrayList<>();
        AtomicBoolean stop = new AtomicBoolean();
        for (Harness.Machine machine : machines) {
            for (int client = 1; client <= 4; client++) {
                String prefix = machine.name + "-" + client;
                Harness.background(prefix, () -> callUntil(stop, machine, prefix, calls));
            }
        }
        Harness.sleep(5_000);
        if (trouble) {
            writeForeignEntry(store, variant);
        }
        Harness.sleep(4_000);
        double faultAt = Harness.seconds();
        Harness.log("all processes are killed");
        machines.forEach(Harness.Machine::kill);
        Harness.sleep(1_000);
        for (Harness.Machine machine : machines) {
            machine.writeSettings(store, ports, false);
            machine.start();
        }
        double backAt = Harness.seconds();
        Harness.sleep(RECOVER_MILLIS + MEASURED_MILLIS);
        double end = Harness.seconds() - 1;
        long ready = machines.stream().filter(Harness.Machine::isReady).count();
        stop.set(true);
        Harness.log("machines ready at the end: %d of %d", ready, MACHINES);
        Harness.log("entries in the store's list of servers: %s", store.names("servers"));
        double before = share(calls, 0, faultAt - 1);
        double after = share(calls, backAt + RECOVER_MILLIS / 1e3, end);
        Harness.log("served before the fault: %.3f of the requests", before);
        Harness.log(
                "served of those sent later than recoverS (%d ms) after the start: %.3f",
                RECOVER_MILLIS, after);
        if (before < 0.25) {
            return 2;
        }
        return after < 0.25 ? 1 : 0;
    }

    /**
     * Writes an entry with a service that the manifest does not name and fields that are missing or
     * of another type. It is valid JSON, and names no runner to use.
     */
    private static void writeForeignEntry(Harness.Store store, String variant) {
        ObjectNode entry = Harness.JSON.createObjectNode();
        entry.put("service", "archive").put("zone", 7).put("state", "sealed");
        ObjectNode key = entry.putObject("publicKey");
        key.put("exponent", 65_537);
        switch (variant) {
            // The modulus of an RSA key of 4,096 bits has 1,233 digits.
            case "number" -> key.put("modulus", BigInteger.ONE.shiftLeft(4_095).add(BigInteger.TWO));
            case "small" -> key.put("modulus", 15);
            // A letter in ISO 8859-1, as another writer may have sent it.
            case "bytes" -> key.put("owner", "wien-s" + Harness.Store.UNREADABLE + "d");
            default -> throw new IllegalArgumentException("no such variant: " + variant);
        }
        store.put("servers", "other-writer", entry);
        Harness.log(
                "another writer's entry lies in the store, %d bytes, variant %s",
                entry.toString().length(), variant);
    }

    private static double share(List<Call> calls, double from, double to) {
        long all = calls.stream().filter(c -> c.sent() >= from && c.sent() <= to).count();
        long served =
                calls.stream()
                        .filter(c -> c.sent() >= from && c.sent() <= to && c.status() == 200)
                        .count();
        return all == 0 ? 0 : (double) served / all;
    }

    private static void callUntil(
            AtomicBoolean stop, Harness.Machine machine, String prefix, List<Call> calls) {
        int number = 0;
        while (!stop.get()) {
            double sent = Harness.seconds();
            try (Harness.Connection connection =
                    new Harness.Connection(machine.ip, machine.frontPort)) {
                while (!stop.get() && !connection.closing.get()) {
                    number++;
                    String method = number % 2 == 0 ? "GET" : "POST";
                    sent = Harness.seconds();
                    Harness.Answer answer =
                            connection.call(
                                    method, "shop.example",
                                    method.equals("GET") ? "/read/a" : "/book/a",
                                    prefix + "-" + number, "key-1", 1_000, new byte[0]);
                    calls.add(new Call(sent, answer.status()));
                    Harness.log(
                            "requester: %s %s-%d answered %d",
                            method, prefix, number, answer.status());
                    Harness.sleep(100);
                }
            } catch (IOException refused) {
                calls.add(new Call(sent, 0));
                Harness.sleep(200);
            }
        }
    }
}
