package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.core.membership.PlatformReaders;
import org.bronzelug.core.membership.PlatformReaders.Candidate;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.http.PooledHttpClient;
import org.bronzelug.router.http.SmallHttpServer.SmallResponse;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;

/**
 * Keeps this VM's copy of the platform's objects up to date.
 *
 * <p>The VM is in one of two modes. As a reader, it lists and watches the platform itself, by one
 * {@link KindWatch} for each kind. Otherwise it polls one peer that does ({@link PlatformReaders}),
 * so that in a large fleet only a few VMs make calls to the platform. Every {@link
 * #DECISION_ROUNDS} rounds the VM decides from the state of the reachable peers which mode applies
 * and which peer it polls; when no peer can be polled, it changes to reading the platform in the
 * next round.
 *
 * <p>Invariant: in both modes, if some reachable peer has reported a later revision of any kind in
 * {@link #CATCH_UP_ROUNDS} rounds in a row, this VM reads from such a peer at once. Without this, a
 * VM that the platform rejects while it serves the other VMs and the operators would go on
 * accepting withdrawn keys. Mirrors only move forward, so it does no harm that several sources fill
 * them. Confined to the control thread.
 */
final class PlatformReading implements KindWatch.Listener {
    /**
     * Number of consecutive rounds with a peer ahead of this VM, after which this VM reads from
     * such a peer. Until then, another source may deliver the revision.
     */
    private static final int CATCH_UP_ROUNDS = 2;

    /**
     * Number of consecutive rounds with a peer ahead of this VM, after which this VM's own watches
     * are assumed to hang on dead connections.
     */
    private static final int RESTART_ROUNDS = 6;

    /**
     * Number of consecutive decisions that this VM need not read the platform, after which it
     * stops. A single decision is not enough, since the VMs' views of the fleet differ.
     */
    private static final int STOP_DECISIONS = 4;

    /** Rounds between two decisions on the mode, unless this VM has no source at all. */
    private static final int DECISION_ROUNDS = 2;

    /** Time that a VM starting in a large fleet waits for a peer that it can read from. */
    private static final long START_WAIT_MILLIS = 200;

    /**
     * Added to that time for each VM of its availability zone that precedes it in the order of
     * readers.
     */
    private static final long START_WAIT_PER_RANK_MILLIS = 100;

    private static final long START_CHECK_MILLIS = 20;

    /**
     * Wait for a change in a poll; the peer responds after this time even if nothing has changed.
     */
    private static final long POLL_MILLIS = 4_000;

    /** Time in nanoseconds for which a peer is not polled after a failed read. */
    private static final long EXCLUSION_NANOS = 1_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EventLoop control;
    private final VmSettings settings;
    private final ControlState state;
    private final MemberTable members;
    private final Runnable onReader;
    private final PeerFeed peerFeed;
    private final ChangeDelivery changes;
    private final PeerReader peerReader;
    private final Map<String, KindWatch> watches = new HashMap<>();
    private final WatchCheck watchCheck;
    private final Map<String, Long> excludedUntil = new HashMap<>();
    private Optional<PolledPeer> polledPeer = Optional.empty();
    private boolean catchUpInFlight;
    private boolean readsPlatform;
    private Optional<List<Candidate>> registeredVms = Optional.empty();
    private boolean stopped;
    private boolean started;
    private long startNanos;
    private int notReaderDecisions;
    private int behindRounds;

    /**
     * @param onChange receives each kind whose objects have changed
     * @param onReader runs when this VM begins to read the platform, so that peers learn of it
     *     before they begin to read the platform themselves
     */
    PlatformReading(
            EventLoop control,
            ObjectStore store,
            VmSettings settings,
            ControlState state,
            MemberTable members,
            Consumer<String> onChange,
            Runnable onReader) {
        this.onReader = onReader;
        this.control = control;
        this.settings = settings;
        this.state = state;
        this.members = members;
        this.peerFeed = new PeerFeed(control, state);
        this.changes = new ChangeDelivery(onChange, peerFeed::onChange);
        this.peerReader = new PeerReader(control, state, this::onPeerChange);
        for (String kind : state.kinds()) {
            watches.put(kind, new KindWatch(kind, control, store, state.mirror(kind), this));
        }
        this.watchCheck =
                new WatchCheck(
                        state, state.readOnlyKinds(), watches, settings.bounds().changeMillis());
    }

    void start() {
        startNanos = System.nanoTime();
        startWhenSourceFound();
    }

    void stop() {
        stopped = true;
        watches.values().forEach(KindWatch::pause);
    }

    /** Notes the VMs registered with the platform; none if they could not be listed. */
    void onListed(List<Candidate> vms) {
        registeredVms = Optional.of(vms);
    }

    /**
     * Begins to read as soon as it is known which source to use, after a bounded wait.
     *
     * <p>Without the wait, all VMs of a large fleet that start at the same time list and watch all
     * kinds at the platform, since none of them has received a reader's state update yet.
     */
    private void startWhenSourceFound() {
        if (stopped) {
            return;
        }
        long waitedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
        boolean smallFleet =
                registeredVms.isPresent()
                        && members.addresses().size() <= PlatformReaders.SMALL_FLEET;
        List<Candidate> reachablePeers = reachablePeers();
        if (smallFleet
                || !pollablePeers(reachablePeers).isEmpty()
                || isStartWaitOver(waitedMillis, reachablePeers)) {
            started = true;
            decide();
        } else {
            control.schedule(this::startWhenSourceFound, START_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns whether this VM has waited long enough for a reader, given its rank among the VMs of
     * its zone.
     */
    private boolean isStartWaitOver(long waitedMillis, List<Candidate> reachablePeers) {
        if (waitedMillis < START_WAIT_MILLIS) {
            return false;
        }
        List<Candidate> candidates = new ArrayList<>(reachablePeers);
        registeredVms.ifPresent(candidates::addAll);
        int rank = PlatformReaders.rank(self(), candidates);
        return waitedMillis >= START_WAIT_MILLIS + START_WAIT_PER_RANK_MILLIS * rank;
    }

    /** Returns whether this VM reads the platform and reaches it. */
    boolean isReading() {
        return readsPlatform && !isLost();
    }

    /** Returns whether this VM tries to read the platform but does not reach it. */
    boolean isLost() {
        return readsPlatform && !watches.values().stream().allMatch(KindWatch::isReachable);
    }

    /**
     * Returns how long the call in flight for a kind has been waiting for the platform's response.
     */
    long unansweredMillis(String kind) {
        return watches.get(kind).unansweredMillis();
    }

    /** Returns the response to a peer's poll. */
    CompletableFuture<SmallResponse> changesResponse(QueryStringDecoder query) {
        return peerFeed.changesResponse(query);
    }

    /**
     * Runs one round: decides on the mode, reads from a peer that is ahead, and checks the watches.
     */
    void round(int rounds) {
        if (!started) {
            return;
        }
        boolean withoutSource = !readsPlatform && polledPeer.isEmpty();
        if (withoutSource || rounds % DECISION_ROUNDS == 0) {
            decide();
        }
        changes.round(rounds);
        catchUp(rounds);
        if (PlatformReaders.isChecker(self(), reachablePeers())) {
            watchCheck.round();
        }
    }

    private void decide() {
        List<Candidate> reachablePeers = reachablePeers();
        List<Candidate> pollablePeers = pollablePeers(reachablePeers);
        boolean shouldRead =
                pollablePeers.isEmpty()
                        || PlatformReaders.isReader(
                                self(), reachablePeers, members.addresses().size());
        notReaderDecisions = shouldRead ? 0 : notReaderDecisions + 1;
        if (shouldRead && !readsPlatform) {
            startReadingPlatform();
        } else if (readsPlatform && notReaderDecisions >= STOP_DECISIONS) {
            stopReadingPlatform();
        }
        if (!readsPlatform) {
            pollPreferred(pollablePeers);
        }
    }

    private void startReadingPlatform() {
        readsPlatform = true;
        stopPolling();
        EventLog.info(LogEvent.PLATFORM_READER, "vm=" + settings.vm() + " reads the platform");
        watches.values().forEach(KindWatch::start);
        onReader.run();
    }

    private void stopReadingPlatform() {
        readsPlatform = false;
        EventLog.info(LogEvent.PLATFORM_READER, "vm=" + settings.vm() + " reads from peers");
        watches.values().forEach(KindWatch::pause);
    }

    private Candidate self() {
        return new Candidate(
                settings.vm(),
                settings.availabilityZone(),
                settings.peersAddress(),
                isReading(),
                isLost());
    }

    private List<Candidate> reachablePeers() {
        return members.live(System.nanoTime()).stream()
                .map(Member::state)
                .filter(peer -> !peer.getStopping())
                .map(PlatformReading::candidate)
                .toList();
    }

    private static Candidate candidate(VmState peer) {
        return new Candidate(
                peer.getVm(),
                peer.getAvailabilityZone(),
                peer.getPeersAddress(),
                peer.getReadsPlatform(),
                peer.getPlatformLost());
    }

    private List<Candidate> pollablePeers(List<Candidate> reachablePeers) {
        long nowNanos = System.nanoTime();
        excludedUntil.values().removeIf(until -> nowNanos - until >= 0);
        return PlatformReaders.sources(self(), reachablePeers).stream()
                .filter(peer -> !excludedUntil.containsKey(peer.address()))
                .toList();
    }

    /**
     * Polls the most preferred peer. A peer that is still eligible is kept; one that is not is
     * abandoned, also in the middle of a poll.
     */
    private void pollPreferred(List<Candidate> pollablePeers) {
        boolean stillPollable =
                polledPeer.isPresent()
                        && pollablePeers.stream()
                                .anyMatch(peer -> peer.address().equals(polledPeer.get().address));
        if (stillPollable || pollablePeers.isEmpty()) {
            return;
        }
        stopPolling();
        PolledPeer selected = new PolledPeer(pollablePeers.get(0).address());
        polledPeer = Optional.of(selected);
        EventLog.info(LogEvent.PEER_FOLLOWED, "from=" + pollablePeers.get(0).name());
        selected.poll();
    }

    private void stopPolling() {
        polledPeer.ifPresent(PolledPeer::close);
        polledPeer = Optional.empty();
    }

    /** Reads the changes that this VM's own source has not delivered from a peer that is ahead. */
    private void catchUp(int rounds) {
        List<Member> ahead =
                members.live(System.nanoTime()).stream()
                        .filter(member -> peerReader.isBehind(member.state().getRevisionsList()))
                        .toList();
        behindRounds = ahead.isEmpty() ? 0 : behindRounds + 1;
        if (behindRounds >= CATCH_UP_ROUNDS && !catchUpInFlight) {
            catchUpInFlight = true;
            VmState selected = ahead.get(rounds % ahead.size()).state();
            PooledHttpClient peer = peerReader.connect(selected.getPeersAddress());
            peerReader
                    .read(peer, 0)
                    .whenComplete(
                            (nothing, failure) -> {
                                catchUpInFlight = false;
                                peer.close();
                                logReadFailure(selected.getVm(), failure);
                            });
        }
        if (readsPlatform && behindRounds == RESTART_ROUNDS) {
            watches.values().stream().filter(KindWatch::isReachable).forEach(KindWatch::restart);
        }
    }

    private static void logReadFailure(String peer, Throwable failure) {
        if (failure != null) {
            EventLog.info(
                    LogEvent.PEER_READ_FAILED,
                    "from=" + peer + " cause=\"" + failure.getMessage() + "\"");
        }
    }

    @Override
    public void onChange(String kind) {
        changes.deliver(kind);
    }

    private void onPeerChange(String kind) {
        changes.deliverSafely(kind);
        if (readsPlatform) {
            watches.get(kind).expectChange();
        }
    }

    @Override
    public void onReachable(String kind, boolean reachable) {
        if (reachable) {
            state.endpointList()
                    .recordContactRegained(watches.get(kind).lostSinceNanos(), System.nanoTime());
        }
    }

    /** A peer that is polled for changes until it is closed. */
    private final class PolledPeer {
        private final String address;
        private final PooledHttpClient connection;
        private boolean closed;

        private PolledPeer(String address) {
            this.address = address;
            this.connection = peerReader.connect(address);
        }

        private void poll() {
            peerReader
                    .read(connection, POLL_MILLIS)
                    .whenComplete((nothing, failure) -> onPollResponse(failure));
        }

        private void onPollResponse(Throwable failure) {
            if (closed || stopped) {
                return;
            }
            if (failure == null) {
                poll();
                return;
            }
            logReadFailure(address, failure);
            excludedUntil.put(address, System.nanoTime() + EXCLUSION_NANOS);
            stopPolling();
            decide();
        }

        private void close() {
            closed = true;
            connection.close();
        }
    }
}
