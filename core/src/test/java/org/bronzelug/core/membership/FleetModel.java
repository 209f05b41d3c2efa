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
 * Models a fleet on a virtual clock: the production decision classes, connected by messages that
 * are lost or delayed.
 *
 * <p>VMs restart and lose their state, are suspended and resume, are cut off from each other and
 * from the platform, and have drifting clocks. A writer commits changes, VMs acquire a claim, and
 * all of them admit requests of one team. The model records each violation of an invariant. Not
 * thread-safe.
 */
final class FleetModel {
    static final long MILLI = 1_000_000;
    static final long STALENESS_BOUND = 2_000 * MILLI;
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
    private final List<double[]> admissions = new ArrayList<>();
    private long now;
    private long sequence;
    private long revision;

    /**
     * When each version of the key object came into force. All versions are kept, since a newer
     * version does not excuse a VM that lacks an older one.
     */
    private final TreeMap<Long, Long> inForceSince = new TreeMap<>();

    private int served;
    private TokenBucket centralBucket;

    FleetModel(int size, long seed, FleetFaults faults) {
        this.random = new Random(seed);
        this.faults = faults;
        commit(KEY_OBJECT);
        for (int index = 0; index < size; index++) {
            nodes.add(new Node("vm-" + index));
        }
        nodes.forEach(Node::restart);
    }

    /** Runs with faults for the given time and returns the violated invariants. */
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
        return admissions.size();
    }

    private void tick(Node node) {
        at(now + (30 + random.nextInt(60)) * MILLI, () -> tick(node));
        if (node.isSuspended()) {
            return;
        }
        node.probeRandomPeer();
        if (random.nextInt(4) == 0) {
            node.readPlatform();
        }
        node.checkClaim();
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
                            .anyMatch(since -> now > since + STALENESS_BOUND * 1.02);
            if (stale) {
                violations.add(node.identity + " serves an outdated key at " + now / MILLI + " ms");
            }
        }
        List<Node> claimUsers = nodes.stream().filter(Node::usesClaim).toList();
        if (claimUsers.size() > 1) {
            violations.add(
                    "two VMs use one claim at "
                            + now / MILLI
                            + " ms: "
                            + claimUsers.stream().map(claimUser -> claimUser.identity).toList());
        }
        if (random.nextBoolean()) {
            claimUsers.forEach(claimUser -> reserve(claimUser, 1 + random.nextInt(40)));
        }
    }

    /**
     * Reserves tokens for a request of the team, on the VM that holds the team's rate and in a
     * central bucket for comparison.
     */
    private void reserve(Node claimUser, double amount) {
        String id = "r" + sequence++;
        long local = claimUser.clock();
        Admission admission = claimUser.shares.reserve(id, TEAM, RATE, amount, local, true);
        boolean granted = admission instanceof Admission.Granted;
        if (granted) {
            admissions.add(new double[] {now, amount});
        }
        if (centralBucket == null) {
            centralBucket = new TokenBucket(RATE.tokensPerSecond(), RATE.burstTokens(), 50, local);
        }
        if (!faults.any() && centralBucket.reserve(id, amount, local) != granted) {
            violations.add("a central bucket decides differently at " + now / MILLI + " ms");
        }
    }

    private void checkRate() {
        // In one pass, the interval with the most tokens among those that end at each admission.
        double level = 0;
        double last = 0;
        for (double[] admission : admissions) {
            double elapsed = (admission[0] - last) / 1e9;
            level = Math.max(0, level - elapsed * RATE.tokensPerSecond() * 1.006) + admission[1];
            last = admission[0];
            if (level > RATE.burstTokens() + 1e-3) {
                violations.add(
                        "admitted " + level + " tokens at once at " + (long) last / MILLI + " ms");
                return;
            }
        }
    }

    private void change() {
        int intervalMillis = faults.frequent() ? 100 : 1_500;
        at(now + (intervalMillis + random.nextInt(2_500)) * MILLI, this::change);
        Node writer = nodes.get(random.nextInt(nodes.size()));
        if (!writer.isSuspended() && writer.reachesPlatform()) {
            VersionedObject object = commit(KEY_OBJECT);
            writer.announce(object, () -> inForceSince.put(object.version(), now));
        }
    }

    private void injectFault() {
        int intervalMillis = faults.frequent() ? 100 : 800;
        at(now + (intervalMillis / 4 + random.nextInt(intervalMillis)) * MILLI, this::injectFault);
        Node node = nodes.get(random.nextInt(nodes.size()));
        switch (random.nextInt(8)) {
            case 0 -> {
                if (faults.restarts()) {
                    node.restart();
                }
            }
            case 1 -> {
                if (faults.suspensions()) {
                    node.suspendedUntil = now + random.nextInt(5_000) * MILLI;
                }
            }
            case 2, 3 -> {
                if (faults.partitions() && random.nextBoolean()) {
                    cutLinksOf(node);
                } else if (faults.partitions()) {
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

    /**
     * Splits the fleet into two sides that cannot reach each other; only one reaches the platform.
     */
    private void partition() {
        cutLinks.clear();
        Set<Node> side = new HashSet<>();
        nodes.stream().filter(node -> random.nextBoolean()).forEach(side::add);
        for (Node from : nodes) {
            from.platformReachable = side.contains(from);
            for (Node to : nodes) {
                if (side.contains(from) != side.contains(to)) {
                    cutLinks.add(from.vm + ">" + to.vm);
                }
            }
        }
    }

    private void cutLinksOf(Node node) {
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
        if (to.isSuspended()) {
            at(to.suspendedUntil + MILLI, () -> deliver(to, delivery));
        } else {
            delivery.run();
        }
    }

    /** An action scheduled for a virtual time. */
    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time
                    ? Long.compare(time, other.time)
                    : Long.compare(order, other.order);
        }
    }

    /** One VM, across its restarts. */
    private final class Node {
        private final String vm;
        private final double drift = 1 + (random.nextDouble() - 0.5) / 100;
        private long offset;
        private MemberIdentity identity;
        private Freshness freshness;
        private ConfigurationState configuration;
        private RateShares shares;
        private long suspendedUntil;
        private boolean platformReachable = true;
        private boolean acquiring;

        private Node(String vm) {
            this.vm = vm;
        }

        private void restart() {
            identity = new MemberIdentity(vm, "i" + sequence++);
            offset = random.nextLong(1L << 40);
            freshness = new Freshness(identity, STALENESS_BOUND, clock());
            configuration = ConfigurationState.empty();
            shares = new RateShares(identity, STALENESS_BOUND);
            suspendedUntil = 0;
            acquiring = false;
            freshness.setRoster(nodes.stream().map(node -> node.vm).toList());
        }

        private long clock() {
            return (long) (now * drift) + offset;
        }

        private boolean usesClaim() {
            boolean fresh = freshness.isFresh(clock());
            return !isSuspended() && shares.claim(GROUP).mayUse(clock(), fresh);
        }

        private boolean isSuspended() {
            return now < suspendedUntil;
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

        private void probeRandomPeer() {
            Node peer = nodes.get(random.nextInt(nodes.size()));
            long sent = clock();
            MemberIdentity prober = identity;
            if (peer != this) {
                send(this, peer, () -> peer.respond(this, prober, sent));
            }
        }

        private void respond(Node prober, MemberIdentity proberIdentity, long sent) {
            ProbeReport report = freshness.report(clock(), false);
            List<VersionedObject> objects = new ArrayList<>(configuration.objects());
            send(
                    this,
                    prober,
                    () -> {
                        if (prober.identity.equals(proberIdentity)) {
                            prober.install(objects);
                            prober.freshness.recordReport(report, sent);
                        }
                    });
        }

        private void readPlatform() {
            MemberIdentity reader = identity;
            long sent = clock();
            if (!platformReachable) {
                return;
            }
            long readTime = now + random.nextInt(30) * MILLI;
            at(
                    readTime,
                    () -> {
                        List<VersionedObject> objects = new ArrayList<>(platform.values());
                        long responseDelay = random.nextInt(400) * MILLI;
                        at(
                                now + responseDelay,
                                () -> deliver(this, () -> installRead(reader, objects, sent)));
                    });
        }

        private void installRead(MemberIdentity reader, List<VersionedObject> objects, long sent) {
            if (identity.equals(reader)) {
                install(objects);
                freshness.recordPlatformRead(sent);
            }
        }

        private void announce(VersionedObject object, Runnable inForce) {
            install(List.of(object));
            Announcement announcement =
                    new Announcement(freshness.majority(), freshness.isCaughtUp());
            MemberIdentity announcer = identity;
            requestConfirmations(
                    object,
                    announcer,
                    (peer, caughtUp) -> {
                        boolean before = announcement.isFirstRoundComplete();
                        announcement.confirmFirst(peer.vm(), peer.incarnation(), caughtUp);
                        if (!before && announcement.isFirstRoundComplete()) {
                            startSecondRound(object, announcer, announcement, inForce);
                        }
                    });
        }

        private void startSecondRound(
                VersionedObject object,
                MemberIdentity announcer,
                Announcement announcement,
                Runnable inForce) {
            requestConfirmations(
                    object,
                    announcer,
                    (peer, caughtUp) -> {
                        boolean before = announcement.isInForce();
                        announcement.confirmSecond(peer.vm(), peer.incarnation(), caughtUp);
                        if (!before && announcement.isInForce()) {
                            inForce.run();
                        }
                    });
        }

        private void requestConfirmations(
                VersionedObject object, MemberIdentity announcer, ConfirmationListener listener) {
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
                            boolean caughtUp = peer.freshness.isCaughtUp();
                            send(
                                    peer,
                                    this,
                                    () -> {
                                        if (identity.equals(announcer)) {
                                            listener.onConfirmation(confirming, caughtUp);
                                        }
                                    });
                        });
            }
        }

        private void checkClaim() {
            ExclusiveClaim claim = shares.claim(GROUP);
            boolean holderDead =
                    claim.holder()
                            .filter(holder -> !freshness.isDead(holder, clock(), 1_500 * MILLI))
                            .isEmpty();
            boolean unconfirmed = claim.heldBySelf() && claim.usableFrom().isEmpty();
            if (acquiring || !platformReachable || !freshness.isFresh(clock())) {
                return;
            }
            if (unconfirmed) {
                confirmClaim(configuration.object(CLAIM_OBJECT).orElseThrow());
            } else if (holderDead && !claim.heldBySelf() && random.nextInt(3) == 0) {
                acquireClaim(claim.version());
            }
        }

        private void acquireClaim(long expectedVersion) {
            VersionedObject current = platform.get(CLAIM_OBJECT);
            long currentVersion = current == null ? 0 : current.version();
            if (currentVersion != expectedVersion) {
                return;
            }
            VersionedObject committed = commit(CLAIM_OBJECT);
            claimHolders.put(committed.version(), identity);
            boolean responseLost = faults.any() && random.nextInt(5) == 0;
            if (!responseLost) {
                shares.recordAcquisition(GROUP, committed.version(), expectedVersion > 0);
                confirmClaim(committed);
            }
        }

        private void confirmClaim(VersionedObject committed) {
            acquiring = true;
            MemberIdentity acquirer = identity;
            at(now + 1_000 * MILLI, () -> acquiring = acquiring && !identity.equals(acquirer));
            announce(
                    committed,
                    () -> {
                        if (identity.equals(acquirer)) {
                            shares.confirm(GROUP, committed.version(), clock());
                        }
                    });
        }
    }

    /** Receives the confirmations of an announcement. */
    private interface ConfirmationListener {
        void onConfirmation(MemberIdentity peer, boolean caughtUp);
    }
}
