import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Daemons as processes of their own, started with the command of the deploy file. */
final class Daemons {
    /** One daemon: its addresses, its settings file and its process. */
    static final class Daemon {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        final int directory = freePort();
        final int peers = freePort();
        final int relay = freePort();
        Path settings;
        Path log;
        Process process;

        Daemon(String name) {
            this.name = name;
        }
    }

    private static final Set<Integer> taken = new HashSet<>();

    private final Path work;
    private final String storeAddress;
    private final List<String> command;
    final List<Daemon> all = new ArrayList<>();

    Daemons(Path work, String storeAddress, int count) throws IOException {
        this.work = work;
        this.storeAddress = storeAddress;
        this.command = command();
        // Ends the daemons also if this process is ended by a signal.
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
        for (int index = 1; index <= count; index++) {
            Daemon daemon = new Daemon("front-" + index);
            daemon.settings = work.resolve(daemon.name + ".json");
            daemon.log = work.resolve(daemon.name + ".log");
            all.add(daemon);
        }
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            if (taken.add(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    return socket.getLocalPort();
                } catch (IOException used) {
                    // Tries another one.
                }
            }
        }
    }

    /** The settings as deploy/settings.json makes them of a small deployment's fields. */
    void writeSettings(Daemon daemon, boolean fleetStarts) throws IOException {
        Files.writeString(daemon.settings, """
                {"vm": "%s", "availabilityZone": "zone-a", "ip": "127.0.0.1", "zones": {"zone-a": "region"},
                "callersAddress": "127.0.0.1:%d", "readyAddress": "127.0.0.1:%d", "directoryAddress": "127.0.0.1:%d",
                "peersPort": %d, "relayPort": %d, "seeds": [], "storeAddress": "%s", "fleetStarts": %s,
                "processorShare": 0.75, "processorSpeed": 1, "memoryMegabytes": 280,
                "contracts": ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","platform"],
                "bounds": {"retryRatio": 0.2, "retryWindowSeconds": 10, "retrySlack": 54, "leastVms": 8,
                "leaseMillis": 3000, "graceSeconds": 8, "weightsMillis": 8000, "changeMillis": 2000,
                "rateSlackTokens": 72000, "rateWindowSeconds": 8}}
                """.formatted(daemon.name, daemon.front, daemon.ready, daemon.directory, daemon.peers, daemon.relay,
                storeAddress, fleetStarts));
    }

    void start(Daemon daemon, boolean fleetStarts) throws IOException {
        writeSettings(daemon, fleetStarts);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BRONZELUG_NODE_FILE", daemon.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
        daemon.process = builder.start();
    }

    void startAll() throws IOException, InterruptedException {
        for (Daemon daemon : all) {
            start(daemon, true);
        }
        for (Daemon daemon : all) {
            awaitReady(daemon, 20_000);
        }
    }

    static boolean isReady(Daemon daemon) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", daemon.ready), 300);
            socket.setSoTimeout(500);
            Http.write(socket.getOutputStream(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
            Http.Message answer = Http.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException refused) {
            return false;
        }
    }

    static void awaitReady(Daemon daemon, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!isReady(daemon)) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(daemon.name + " is not ready");
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    static void signal(Daemon daemon, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(daemon.process.pid())).start().waitFor();
    }

    void stopAll() {
        for (Daemon daemon : all) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
            }
        }
    }
}
