package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.bronzelug.core.claim.ExclusiveClaim;
import org.bronzelug.core.configuration.ConfigurationState;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.limit.Admission;
import org.bronzelug.core.limit.RateShares;
import org.bronzelug.core.limit.TeamRate;
import org.bronzelug.core.limit.TokenBucket;

/**
 * A fleet on a virtual clock: the real decisions, joined by messages that get lost and late.
 *
 * <p>VMs restart and forget, pause and wake, are cut off from each other and from the platform, and
 * their clocks drift; one writer commits changes, VMs take a claim over, and all of them admit
 * requests of one team. It records what breaks an invariant. Not thread-safe.
 */
final class FleetModel {
    static final long MILLI = 1_000_000;
    static final long LIMIT = 2_000 * MILLI;
    private static final String KEY_OBJECT = "team/one";
    private static final String TEAM = "one";
    private static final TeamRate RATE = new TeamRate(100, 50);
    private static final int GROUP = RateShares.groupOf(TEAM);
    private static final String CLAIM_OBJECT = "share/" + GROUP;

    private final Random random;
    private final FleetFaults faults;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, VersionedObject> platform = new HashMap<>();
    private final Map<Long, MemberIdentity> claimHolders = new HashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final List<double[]> admitted = new ArrayList<>();
    private long now;
    private long sequence;
    private long revision;

    /** When each version of the key object came into force; a later one excuses no earlier one. */
    private final TreeMap<Long, Long> inForceSince = new TreeMap<>();

    private int served;
    private TokenBucket central;

    FleetModel(int size, long seed, FleetFaults faults) {
        this.random = new Random(seed);
        this.faults = faults;
        commit(KEY_OBJECT);
        for (int index = 0; index < size; index++) {
            nodes.add(new Node("vm-" + index));
        }
        nodes.forEach(Node::restart);
    }

    /** Runs for so long, with faults, and returns what broke an invariant. */
    List<String> run(long nanos) {
        for (Node node : nodes) {
            at(random.nextLong(50 * MILLI), () -> tick(node));
        }
        at(3_000 * MILLI, this::injectFault);
        at(3_000 * MILLI, this::change);
        while (now < nanos && violations.isEmpty()) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
        }
        checkRate();
        return violations;
    }

    int served() {
        return served;
    }

    int admittedCount() {
        return admitted.size();
    }

    private void tick(Node node) {
        at(now + (30 + random.nextInt(60)) * MILLI, () -> tick(node));
        if (node.isPaused()) {
            return;
        }
        node.probeSomebody();
        if (random.nextInt(4) == 0) {
            node.readPlatform();
        }
        node.considerClaim();
        checkServing(node);
    }

    private void checkServing(Node node) {
        long local = node.clock();
        boolean fresh = node.freshness.isFresh(local);
        if (fresh) {
            served++;
            long version = node.configuration.version(KEY_OBJECT);
            boolean stale =
                    inForceSince.tailMap(version, false).values().stream()
                            .anyMatch(since -> now > since + LIMIT * 1.02);
            if (stale) {
                violations.add(node.identity + " serves an old key at " + now / MILLI + " ms");
            }
        }
        List<Node> users = nodes.stream().filter(Node::usesClaim).toList();
        if (users.size() > 1) {
            violations.add(
                    "two use one claim at "
                            + now / MILLI
                            + " ms: "
                            + users.stream().map(user -> user.identity).toList());
        }
        if (random.nextBoolean()) {
            users.forEach(user -> reserve(user, 1 + random.nextInt(40)));
        }
    }

    /** A request of the team, at the VM that holds its rate, and at one central bucket. */
    private void reserve(Node user, double amount) {
        String id = "r" + sequence++;
        long local = user.clock();
        Admission admission = user.shares.reserve(id, TEAM, RATE, amount, local, true);
        boolean granted = admission instanceof Admission.Granted;
        if (granted) {
            admitted.add(new double[] {now, amount});
        }
        if (central == null) {
            central = new TokenBucket(RATE.tokensPerSecond(), RATE.burstTokens(), 50, local);
        }
        if (!faults.any() && central.reserve(id, amount, local) != granted) {
            violations.add("one central bucket decides otherwise at " + now / MILLI + " ms");
        }
    }

    private void checkRate() {
        // The worst interval that ends at each admission, in one pass.
        double level = 0;
        double last = 0;
        for (double[] admission : admitted) {
            double elapsed = (admission[0] - last) / 1e9;
            level = Math.max(0, level - elapsed * RATE.tokensPerSecond() * 1.006) + admission[1];
            last = admission[0];
            if (level > RATE.burstTokens() + 1e-3) {
                violations.add("admitted " + level + " at once at " + (long) last / MILLI + " ms");
                return;
            }
        }
    }

    private void change() {
        int pause = faults.frequent() ? 100 : 1_500;
        at(now + (pause + random.nextInt(2_500)) * MILLI, this::change);
        Node writer = nodes.get(random.nextInt(nodes.size()));
        if (!writer.isPaused() && writer.reachesPlatform()) {
            VersionedObject object = commit(KEY_OBJECT);
            writer.announce(object, () -> inForceSince.put(object.version(), now));
        }
    }

    private void injectFault() {
        int pause = faults.frequent() ? 100 : 800;
        at(now + (pause / 4 + random.nextInt(pause)) * MILLI, this::injectFault);
        Node node = nodes.get(random.nextInt(nodes.size()));
        switch (random.nextInt(8)) {
            case 0 -> {
                if (faults.restarts()) {
                    node.restart();
                }
            }
            case 1 -> {
                if (faults.pauses()) {
                    node.pausedUntil = now + random.nextInt(5_000) * MILLI;
                }
            }
            case 2, 3 -> {
                if (faults.cuts() && random.nextBoolean()) {
                    cut(node);
                } else if (faults.cuts()) {
                    partition();
                }
            }
            case 4 -> cutLinks.clear();
            case 5 -> nodes.forEach(each -> each.platformReachable = true);
            default -> {
                if (faults.platformOutages()) {
                    int reachable = faults.frequent() ? 2 * nodes.size() : 3;
                    nodes.forEach(each -> each.platformReachable = random.nextInt(reachable) == 0);
                }
            }
        }
    }

    /** Two sides that can't reach each other; the platform is reached from one of them. */
    private void partition() {
        cutLinks.clear();
        Set<Node> side = new HashSet<>();
        nodes.stream().filter(node -> random.nextBoolean()).forEach(side::add);
        for (Node one : nodes) {
            one.platformReachable = side.contains(one);
            for (Node other : nodes) {
                if (side.contains(one) != side.contains(other)) {
                    cutLinks.add(one.vm + ">" + other.vm);
                }
            }
        }
    }

    private void cut(Node node) {
        for (Node other : nodes) {
            if (random.nextBoolean()) {
                cutLinks.add(node.vm + ">" + other.vm);
            }
            if (random.nextBoolean()) {
                cutLinks.add(other.vm + ">" + node.vm);
            }
        }
    }

    private VersionedObject commit(String key) {
        VersionedObject object = new VersionedObject(key, ++revision, new byte[0]);
        platform.put(key, object);
        return object;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    private void send(Node from, Node to, Runnable delivery) {
        boolean lost = random.nextInt(100) < faults.lossPercent();
        if (lost || cutLinks.contains(from.vm + ">" + to.vm)) {
            return;
        }
        long delay = random.nextInt(20) == 0 ? random.nextInt(3_000) : 1 + random.nextInt(5);
        at(now + delay * MILLI, () -> deliver(to, delivery));
    }

    private void deliver(Node to, Runnable delivery) {
        if (to.isPaused()) {
            at(to.pausedUntil + MILLI, () -> deliver(to, delivery));
        } else {
            delivery.run();
        }
    }

    /** Something that happens at a time. */
    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time
                    ? Long.compare(time, other.time)
                    : Long.compare(order, other.order);
        }
    }

    /** One VM, over its restarts. */
    private final class Node {
        private final String vm;
        private final double drift = 1 + (random.nextDouble() - 0.5) / 100;
        private long offset;
        private MemberIdentity identity;
        private Freshness freshness;
        private ConfigurationState configuration;
        private RateShares shares;
        private long pausedUntil;
        private boolean platformReachable = true;
        private boolean taking;

        private Node(String vm) {
            this.vm = vm;
        }

        private void restart() {
            identity = new MemberIdentity(vm, "i" + sequence++);
            offset = random.nextLong(1L << 40);
            freshness = new Freshness(identity, LIMIT, clock());
            configuration = ConfigurationState.empty();
            shares = new RateShares(identity, LIMIT);
            pausedUntil = 0;
            taking = false;
            freshness.setRoster(nodes.stream().map(node -> node.vm).toList());
        }

        private long clock() {
            return (long) (now * drift) + offset;
        }

        private boolean usesClaim() {
            boolean fresh = freshness.isFresh(clock());
            return !isPaused() && shares.claim(GROUP).mayUse(clock(), fresh);
        }

        private boolean isPaused() {
            return now < pausedUntil;
        }

        private boolean reachesPlatform() {
            return platformReachable;
        }

        private void install(List<VersionedObject> objects) {
            configuration = configuration.with(objects);
            long version = configuration.version(CLAIM_OBJECT);
            if (version > 0) {
                shares.observe(GROUP, version, claimHolders.get(version));
            }
        }

        private void probeSomebody() {
            Node peer = nodes.get(random.nextInt(nodes.size()));
            long sent = clock();
            MemberIdentity asker = identity;
            if (peer != this) {
                send(this, peer, () -> peer.answer(this, asker, sent));
            }
        }

        private void answer(Node asker, MemberIdentity askerIdentity, long sent) {
            ProbeReport report = freshness.report(clock(), false);
            List<VersionedObject> objects = new ArrayList<>(configuration.objects());
            send(
                    this,
                    asker,
                    () -> {
                        if (asker.identity.equals(askerIdentity)) {
                            asker.install(objects);
                            asker.freshness.recordReport(report, sent);
                        }
                    });
        }

        private void readPlatform() {
            MemberIdentity reader = identity;
            long sent = clock();
            if (!platformReachable) {
                return;
            }
            long there = now + random.nextInt(30) * MILLI;
            at(
                    there,
                    () -> {
                        List<VersionedObject> objects = new ArrayList<>(platform.values());
                        long back = random.nextInt(400) * MILLI;
                        at(now + back, () -> deliver(this, () -> take(reader, objects, sent)));
                    });
        }

        private void take(MemberIdentity reader, List<VersionedObject> objects, long sent) {
            if (identity.equals(reader)) {
                install(objects);
                freshness.recordPlatform(sent);
            }
        }

        private void announce(VersionedObject object, Runnable inForce) {
            install(List.of(object));
            Announcement announcement =
                    new Announcement(freshness.majority(), freshness.isCaughtUp());
            MemberIdentity announcer = identity;
            push(
                    object,
                    announcer,
                    (peer, settled) -> {
                        boolean before = announcement.isFirstComplete();
                        announcement.confirmFirst(peer.vm(), peer.incarnation(), settled);
                        if (!before && announcement.isFirstComplete()) {
                            secondRound(object, announcer, announcement, inForce);
                        }
                    });
        }

        private void secondRound(
                VersionedObject object,
                MemberIdentity announcer,
                Announcement announcement,
                Runnable inForce) {
            push(
                    object,
                    announcer,
                    (peer, settled) -> {
                        boolean before = announcement.isInForce();
                        announcement.confirmSecond(peer.vm(), peer.incarnation(), settled);
                        if (!before && announcement.isInForce()) {
                            inForce.run();
                        }
                    });
        }

        private void push(VersionedObject object, MemberIdentity announcer, Confirmation taken) {
            for (Node peer : nodes) {
                if (peer == this) {
                    continue;
                }
                send(
                        this,
                        peer,
                        () -> {
                            peer.install(List.of(object));
                            MemberIdentity confirming = peer.identity;
                            boolean settled = peer.freshness.isCaughtUp();
                            send(
                                    peer,
                                    this,
                                    () -> {
                                        if (identity.equals(announcer)) {
                                            taken.take(confirming, settled);
                                        }
                                    });
                        });
            }
        }

        private void considerClaim() {
            ExclusiveClaim claim = shares.claim(GROUP);
            boolean gone =
                    claim.holder()
                            .filter(holder -> !freshness.isDead(holder, clock(), 1_500 * MILLI))
                            .isEmpty();
            boolean unconfirmed = claim.heldBySelf() && claim.usableFrom().isEmpty();
            if (taking || !platformReachable || !freshness.isFresh(clock())) {
                return;
            }
            if (unconfirmed) {
                confirmClaim(configuration.object(CLAIM_OBJECT).orElseThrow());
            } else if (gone && !claim.heldBySelf() && random.nextInt(3) == 0) {
                takeClaim(claim.version());
            }
        }

        private void takeClaim(long expectedVersion) {
            VersionedObject present = platform.get(CLAIM_OBJECT);
            long presentVersion = present == null ? 0 : present.version();
            if (presentVersion != expectedVersion) {
                return;
            }
            VersionedObject taken = commit(CLAIM_OBJECT);
            claimHolders.put(taken.version(), identity);
            boolean answerLost = faults.any() && random.nextInt(5) == 0;
            if (!answerLost) {
                shares.take(GROUP, taken.version(), expectedVersion > 0);
                confirmClaim(taken);
            }
        }

        private void confirmClaim(VersionedObject taken) {
            taking = true;
            MemberIdentity taker = identity;
            at(now + 1_000 * MILLI, () -> taking = taking && !identity.equals(taker));
            announce(
                    taken,
                    () -> {
                        if (identity.equals(taker)) {
                            shares.confirm(GROUP, taken.version(), clock());
                        }
                    });
        }
    }

    /** Takes one confirmation of an announcement. */
    private interface Confirmation {
        void take(MemberIdentity peer, boolean settled);
    }
}
