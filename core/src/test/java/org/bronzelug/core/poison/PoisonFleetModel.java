package org.bronzelug.core.poison;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates, on a virtual clock, a fleet of VMs that send prompts to endpoints, each with a monitor
 * of its own; reports between VMs take some milliseconds, and some are lost.
 *
 * <p>Sound prompts have a first part, shared by a quarter of the requests, and a second one that is
 * popular or rare. Not thread-safe. Times are milliseconds.
 */
final class PoisonFleetModel {
    static final long CONTACT_MILLIS = 3_000;
    static final int CRASHES_BEFORE_BOUND = 5;

    private static final String POOL = "pool";
    private static final String VERSION = "v1";
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int FIRST_PARTS = 4;
    private static final int POPULAR_PARTS = 160;
    private static final int RARE_PARTS = 400;
    private static final double RARE_SHARE = 0.3;
    private static final int RESTART_MILLIS = 1_400;
    private static final double LOST_SHARE = 0.02;
    private static final int VERIFY_MILLIS = 60;
    private static final int POLL_MILLIS = 100;
    private static final int REPORT_MILLIS = 20;
    private static final int CALLER_MILLIS = 6_000;

    /**
     * The load.
     *
     * @param soundRate sound requests a second
     * @param poisonRate requests a second with the part that crashes endpoints
     * @param stormRate random crashes a second
     * @param stormEndpoints endpoints that crash at the same time in each of them
     */
    record Load(
            int vms,
            int endpoints,
            double soundRate,
            double poisonRate,
            double stormRate,
            int stormEndpoints) {}

    private final Load load;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (left, right) ->
                            left.millis != right.millis
                                    ? Long.compare(left.millis, right.millis)
                                    : Long.compare(left.order, right.order));
    private final List<Vm> vms = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private long order;
    private long millis;
    private int fingerprints;
    private int poisonCrashes;
    private int crashesAtQuarantine = -1;
    private long boundMillis = Long.MAX_VALUE;
    private int sendsAfterBound;
    private int soundRejected;
    private int sound;
    private int soundHeld;
    private long longestHoldMillis;
    private int falseQuarantines;

    private record Event(long millis, long order, Runnable action) {}

    PoisonFleetModel(Load load, long seed) {
        this.load = load;
        this.random = new Random(seed);
        for (int index = 0; index < load.vms; index++) {
            vms.add(new Vm("vm-" + index));
        }
        for (int index = 0; index < load.endpoints; index++) {
            endpoints.add(new Endpoint("endpoint-" + index));
        }
    }

    /** Runs sound requests, and from the third second on poison and storms. */
    void run(long untilMillis) {
        vms.forEach(vm -> at(random.nextInt(roundMillis()), vm::round));
        arrive(0, load.soundRate, () -> send(soundParts(), false));
        arrive(3_000, load.poisonRate, () -> send(poisonParts(), true));
        arrive(3_000, load.stormRate, this::storm);
        proceed(untilMillis);
    }

    void proceed(long untilMillis) {
        while (!events.isEmpty() && events.peek().millis <= untilMillis) {
            Event next = events.poll();
            millis = next.millis;
            next.action.run();
        }
        millis = untilMillis;
    }

    /** Restarts all VMs at once; they adopt the quarantines that the platform has stored. */
    void restartVms() {
        List<QuarantinedParts> stored = new ArrayList<>();
        vms.forEach(vm -> stored.addAll(vm.monitor.quarantines()));
        for (Vm vm : vms) {
            vm.restart();
            stored.forEach(entry -> vm.monitor.adopt(entry, "platform", nanos()));
        }
    }

    private void arrive(long fromMillis, double rate, Runnable action) {
        if (rate > 0) {
            long gap = (long) (-Math.log(1 - random.nextDouble()) * 1_000 / rate);
            at(Math.max(fromMillis, millis + gap), () -> repeat(rate, action));
        }
    }

    private void repeat(double rate, Runnable action) {
        action.run();
        arrive(millis, rate, action);
    }

    private void at(long when, Runnable action) {
        events.add(new Event(when, order++, action));
    }

    private void after(long delay, Runnable action) {
        at(millis + delay, action);
    }

    private long nanos() {
        return millis * NANOS_PER_MILLI;
    }

    private int roundMillis() {
        return load.vms <= 13 ? 150 : 300;
    }

    private Set<PartKey> soundParts() {
        boolean rare = random.nextDouble() < RARE_SHARE;
        int popular = (int) (POPULAR_PARTS * random.nextDouble() * random.nextDouble());
        String second = rare ? "rare-" + random.nextInt(RARE_PARTS) : "popular-" + popular;
        return Set.of(firstPart(), PartKey.of(POOL, second));
    }

    private Set<PartKey> poisonParts() {
        return Set.of(firstPart(), PartKey.of(POOL, "poison"));
    }

    private PartKey firstPart() {
        return PartKey.of(POOL, "first-" + random.nextInt(FIRST_PARTS));
    }

    private void storm() {
        for (int count = 0; count < load.stormEndpoints; count++) {
            endpoints.get(random.nextInt(endpoints.size())).crash(false);
        }
    }

    private void send(Set<PartKey> parts, boolean poison) {
        if (!poison) {
            sound++;
        }
        new Request(vms.get(random.nextInt(vms.size())), parts, poison).attempt();
    }

    /** Crashes under the part that crashes endpoints. */
    int poisonCrashes() {
        return poisonCrashes;
    }

    /** Returns the number of these crashes before the part was first quarantined; -1 if none. */
    int crashesAtQuarantine() {
        return crashesAtQuarantine;
    }

    /** Returns the sends of the part later than the bound after the fifth crash. */
    int sendsAfterBound() {
        return sendsAfterBound;
    }

    int soundRejected() {
        return soundRejected;
    }

    int soundHeld() {
        return soundHeld;
    }

    int sound() {
        return sound;
    }

    long longestHoldMillis() {
        return longestHoldMillis;
    }

    int falseQuarantines() {
        return falseQuarantines;
    }

    private final class Vm {
        private final String name;
        private PoisonMonitor monitor;

        private Vm(String name) {
            this.name = name;
            restart();
        }

        private void restart() {
            monitor =
                    new PoisonMonitor(
                            new QuarantineListener() {
                                @Override
                                public void onQuarantined(QuarantinedParts parts, String source) {
                                    recordQuarantine(parts);
                                }

                                @Override
                                public void onReleased(QuarantinedParts parts, PartKey survived) {
                                    // Counted by the rejections that a wrong quarantine causes.
                                }
                            },
                            nanos());
            monitor.setEndpoints(Map.of(POOL, load.endpoints));
        }

        private void round() {
            // An endpoint that crashes closes its connections, also those that are idle.
            for (Endpoint endpoint : endpoints) {
                if (endpoint.runs.containsKey(this)) {
                    endpoint.run(this).recordConnected(nanos());
                }
            }
            monitor.sweep(nanos());
            send(monitor.roundReport(nanos()));
            after(roundMillis(), this::round);
        }

        private void receive(String sender, PoisonReport report) {
            monitor.receive(sender, report, nanos());
            if (!report.crashes().isEmpty()) {
                sendUrgent();
                evaluateSoon();
            }
        }

        private void evaluateSoon() {
            after(
                    REPORT_MILLIS,
                    () -> {
                        monitor.evaluate(nanos());
                        sendUrgent();
                    });
        }

        private void sendUrgent() {
            send(monitor.urgentReport(nanos()));
        }

        private void send(Optional<PoisonReport> reports) {
            reports.ifPresent(
                    report -> {
                        for (Vm peer : vms) {
                            if (peer != this && random.nextDouble() >= LOST_SHARE) {
                                after(1 + random.nextInt(5), () -> peer.receive(name, report));
                            }
                        }
                    });
        }
    }

    private void recordQuarantine(QuarantinedParts parts) {
        if (parts.parts().equals(Set.of(PartKey.of(POOL, "poison")))) {
            crashesAtQuarantine = crashesAtQuarantine < 0 ? poisonCrashes : crashesAtQuarantine;
        } else if (!parts.parts().contains(PartKey.of(POOL, "poison"))) {
            falseQuarantines++;
        }
    }

    private final class Endpoint {
        private final String id;
        private final List<Request> requests = new ArrayList<>();
        private Map<Vm, EndpointRun> runs = new LinkedHashMap<>();
        private long born;
        private boolean up = true;

        private Endpoint(String id) {
            this.id = id;
        }

        private EndpointRun run(Vm vm) {
            return runs.computeIfAbsent(
                    vm, any -> new EndpointRun(new EndpointStart(id, born), POOL, VERSION));
        }

        private void crash(boolean poison) {
            if (!up) {
                return;
            }
            up = false;
            if (poison && ++poisonCrashes == CRASHES_BEFORE_BOUND) {
                boundMillis = millis + CONTACT_MILLIS;
            }
            Map<Vm, EndpointRun> crashed = runs;
            runs = new LinkedHashMap<>();
            List<Request> lost = List.copyOf(requests);
            requests.clear();
            long crashNanos = nanos();
            lost.forEach(Request::onCrash);
            for (Map.Entry<Vm, EndpointRun> run : crashed.entrySet()) {
                PoisonMonitor seenBy = run.getKey().monitor;
                after(
                        2 + random.nextInt(4),
                        () -> {
                            if (run.getKey().monitor == seenBy) {
                                seenBy.recordCrash(
                                        run.getValue(), OptionalLong.of(crashNanos), nanos());
                                run.getKey().sendUrgent();
                                run.getKey().evaluateSoon();
                            }
                        });
            }
            after(RESTART_MILLIS, this::start);
        }

        private void start() {
            born++;
            up = true;
        }
    }

    private final class Request {
        private final Vm vm;
        private final PoisonMonitor monitor;
        private final Set<PartKey> parts;
        private final RequestKeys keys;
        private final boolean poison;
        private final long arrivedMillis = millis;
        private int attempts;
        private boolean held;
        private Optional<WatchedAttempt> watched = Optional.empty();
        private Optional<Endpoint> endpoint = Optional.empty();

        private Request(Vm vm, Set<PartKey> parts, boolean poison) {
            this.vm = vm;
            this.monitor = vm.monitor;
            this.parts = parts;
            String fingerprint = String.valueOf(++fingerprints);
            this.keys =
                    new RequestKeys(List.copyOf(parts), () -> PartKey.ofRequest(POOL, fingerprint));
            this.poison = poison;
        }

        private void attempt() {
            if (vm.monitor != monitor || millis - arrivedMillis > CALLER_MILLIS) {
                return;
            }
            switch (monitor.admit(keys, nanos())) {
                case PartAdmission.Rejected rejected -> soundRejected += poison ? 0 : 1;
                case PartAdmission.Waiting waiting -> {
                    hold();
                    after(POLL_MILLIS, this::attempt);
                }
                case PartAdmission.Allowed allowed -> sendToEndpoint();
            }
        }

        private void hold() {
            if (!poison) {
                soundHeld += held ? 0 : 1;
                longestHoldMillis = Math.max(longestHoldMillis, millis - arrivedMillis);
            }
            held = true;
        }

        private void sendToEndpoint() {
            List<Endpoint> up = endpoints.stream().filter(candidate -> candidate.up).toList();
            if (up.isEmpty()) {
                after(POLL_MILLIS, this::attempt);
                return;
            }
            Endpoint chosen = up.get(random.nextInt(up.size()));
            attempts++;
            if (poison && millis > boundMillis) {
                sendsAfterBound++;
            }
            watched = Optional.of(monitor.begin(chosen.run(vm), keys, nanos()));
            endpoint = Optional.of(chosen);
            chosen.requests.add(this);
            vm.sendUrgent();
            WatchedAttempt sent = watched.get();
            sent.recordWritten();
            after(20 + random.nextInt(280), () -> begin(sent));
        }

        private void begin(WatchedAttempt sent) {
            if (isAt(sent)) {
                sent.recordHead(nanos());
                vm.sendUrgent();
                if (poison) {
                    Endpoint crashing = endpoint.orElseThrow();
                    after(50 + random.nextInt(70), () -> crashIfStill(sent, crashing));
                } else {
                    after(5, () -> token(sent, 2 + random.nextInt(70)));
                }
            }
        }

        private void crashIfStill(WatchedAttempt sent, Endpoint crashing) {
            if (isAt(sent)) {
                crashing.crash(true);
            }
        }

        private void token(WatchedAttempt sent, int left) {
            if (!isAt(sent)) {
                return;
            }
            sent.recordData(nanos());
            if (left > 0) {
                after(15, () -> token(sent, left - 1));
            } else {
                endpoint.orElseThrow().requests.remove(this);
                endpoint = Optional.empty();
                sent.complete(nanos());
                monitor.recordComplete(keys, VERSION, nanos());
                vm.sendUrgent();
            }
        }

        private boolean isAt(WatchedAttempt sent) {
            return endpoint.isPresent() && watched.filter(sent::equals).isPresent();
        }

        private void onCrash() {
            watched.ifPresent(sent -> sent.end(nanos()));
            endpoint = Optional.empty();
            if (attempts < 2) {
                boolean harmless =
                        monitor.ends(keys) == 0 && monitor.areHarmless(parts, VERSION, nanos());
                after(harmless ? 1 : VERIFY_MILLIS, this::attempt);
            }
        }
    }
}
