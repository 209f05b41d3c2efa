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
import org.bronzelug.router.http.HttpCaller;
import org.bronzelug.router.http.HttpResponder.SmallResponse;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;

/**
 * Keeps this VM's copy of the platform's objects up to date: from the platform itself, or, in a
 * large fleet, from a peer that reads it ({@link PlatformReaders}).
 *
 * <p>Either way, a peer that is heard to know more is read at once. The failure this answers: the
 * platform turns one VM away and serves the others and the operators, so keys are withdrawn that
 * this VM would go on taking. Confined to the control thread.
 */
final class PlatformReading implements KindWatch.Listener {
    /** A peer's later revision is read from it if nothing else has brought it by then. */
    private static final int BEHIND_ROUNDS = 2;

    /** After so many rounds behind a peer the own watch hangs on a dead connection. */
    private static final int HANGING_ROUNDS = 6;

    /**
     * Decisions in which others must be seen to read before a reader stops: views of VMs differ.
     */
    private static final int LEAVE_DECISIONS = 4;

    /** Rounds between two decisions on who reads, unless this VM has nobody to read from. */
    private static final int DECISION_ROUNDS = 2;

    /** How long a VM that starts in a large fleet waits to hear a peer that it can read from. */
    private static final long START_MILLIS = 200;

    /** So much longer for each VM of its zone that reads before it. */
    private static final long START_RANK_MILLIS = 100;

    private static final long START_CHECK_MILLIS = 20;

    /** A peer answers within this even if nothing changes. */
    private static final long POLL_MILLIS = 4_000;

    /** A peer that failed a read is left out for this long, in nanoseconds. */
    private static final long FAILED_NANOS = 1_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EventLoop control;
    private final VmSettings settings;
    private final ControlState state;
    private final MemberTable members;
    private final Consumer<String> onChange;
    private final Runnable onReader;
    private final PeerFeed feed;
    private final PeerReader peers;
    private final Map<String, KindWatch> watches = new HashMap<>();
    private final WatchCheck check;
    private final Map<String, Long> failedUntil = new HashMap<>();
    private Optional<Source> source = Optional.empty();
    private boolean catchingUp;
    private boolean reading;
    private Optional<List<Candidate>> registered = Optional.empty();
    private boolean stopped;
    private boolean begun;
    private long startNanos;
    private int notReaderDecisions;
    private int behindRounds;

    /**
     * @param onChange takes the kinds whose objects have changed
     * @param onReader runs when this VM begins to read the platform, so that peers learn it before
     *     they read it themselves
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
        this.onChange = onChange;
        this.feed = new PeerFeed(control, state);
        this.peers = new PeerReader(control, state, this::onPeerChange);
        for (String kind : state.kinds()) {
            watches.put(kind, new KindWatch(kind, control, store, state.mirror(kind), this));
        }
        this.check =
                new WatchCheck(state, state.readKinds(), watches, settings.bounds().changeMillis());
    }

    void start() {
        startNanos = System.nanoTime();
        begin();
    }

    void stop() {
        stopped = true;
        watches.values().forEach(KindWatch::pause);
    }

    /** The VMs of the fleet were listed, or could not be. */
    void onListed(List<Candidate> vms) {
        registered = Optional.of(vms);
    }

    /**
     * Waits until it is known whom to read from, but not long.
     *
     * <p>The load this answers: all VMs of a large fleet start at one moment, none hears a reader
     * yet, and each lists and watches all kinds.
     */
    private void begin() {
        if (stopped) {
            return;
        }
        long waitedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
        boolean small =
                registered.isPresent() && members.addresses().size() <= PlatformReaders.SMALL_FLEET;
        List<Candidate> heard = heard();
        if (small || !sources(heard).isEmpty() || isStartOver(waitedMillis, heard)) {
            begun = true;
            decide();
        } else {
            control.schedule(this::begin, START_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether this VM has waited for a reader until its rank's turn. */
    private boolean isStartOver(long waitedMillis, List<Candidate> heard) {
        if (waitedMillis < START_MILLIS) {
            return false;
        }
        List<Candidate> known = new ArrayList<>(heard);
        registered.ifPresent(known::addAll);
        int rank = PlatformReaders.rank(self(), known);
        return waitedMillis >= START_MILLIS + START_RANK_MILLIS * rank;
    }

    /** Whether this VM reads the platform and reaches it. */
    boolean isReading() {
        return reading && !isLost();
    }

    /** Whether this VM tries to read the platform and does not reach it. */
    boolean isLost() {
        return reading && !watches.values().stream().allMatch(KindWatch::isReachable);
    }

    /** How long the call under way for a kind has had no answer from the platform. */
    long unansweredMillis(String kind) {
        return watches.get(kind).unansweredMillis();
    }

    /** The answer to a peer's read. */
    CompletableFuture<SmallResponse> answer(QueryStringDecoder query) {
        return feed.answer(query);
    }

    /** One step: who reads, and whether a peer knows more. */
    void round(int rounds) {
        if (!begun) {
            return;
        }
        boolean lost = !reading && source.isEmpty();
        if (lost || rounds % DECISION_ROUNDS == 0) {
            decide();
        }
        catchUp(rounds);
        if (PlatformReaders.isChecker(self(), heard())) {
            check.round();
        }
    }

    private void decide() {
        List<Candidate> heard = heard();
        List<Candidate> sources = sources(heard);
        boolean wanted =
                sources.isEmpty()
                        || PlatformReaders.isReader(self(), heard, members.addresses().size());
        notReaderDecisions = wanted ? 0 : notReaderDecisions + 1;
        if (wanted && !reading) {
            readPlatform();
        } else if (reading && notReaderDecisions >= LEAVE_DECISIONS) {
            readPeers();
        }
        if (!reading) {
            follow(sources);
        }
    }

    private void readPlatform() {
        reading = true;
        leaveSource();
        EventLog.info(LogEvent.PLATFORM_READER, "vm=" + settings.vm() + " reads the platform");
        watches.values().forEach(KindWatch::start);
        onReader.run();
    }

    private void readPeers() {
        reading = false;
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

    private List<Candidate> heard() {
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

    private List<Candidate> sources(List<Candidate> heard) {
        long nowNanos = System.nanoTime();
        failedUntil.values().removeIf(until -> nowNanos - until >= 0);
        return PlatformReaders.sources(self(), heard).stream()
                .filter(peer -> !failedUntil.containsKey(peer.address()))
                .toList();
    }

    /** Polls the best peer; one that is no longer heard is left in the middle of a poll. */
    private void follow(List<Candidate> usable) {
        boolean still =
                source.isPresent()
                        && usable.stream()
                                .anyMatch(peer -> peer.address().equals(source.get().address));
        if (still || usable.isEmpty()) {
            return;
        }
        leaveSource();
        Source chosen = new Source(usable.get(0).address());
        source = Optional.of(chosen);
        EventLog.info(LogEvent.PEER_FOLLOWED, "from=" + usable.get(0).name());
        chosen.poll();
    }

    private void leaveSource() {
        source.ifPresent(Source::close);
        source = Optional.empty();
    }

    /** Reads from a peer what neither the platform nor the peer that is followed has brought. */
    private void catchUp(int rounds) {
        List<Member> ahead =
                members.live(System.nanoTime()).stream()
                        .filter(member -> peers.isBehind(member.state().getRevisionsList()))
                        .toList();
        behindRounds = ahead.isEmpty() ? 0 : behindRounds + 1;
        if (behindRounds >= BEHIND_ROUNDS && !catchingUp) {
            catchingUp = true;
            VmState chosen = ahead.get(rounds % ahead.size()).state();
            HttpCaller peer = peers.connect(chosen.getPeersAddress());
            peers.read(peer, 0)
                    .whenComplete(
                            (nothing, failure) -> {
                                catchingUp = false;
                                peer.close();
                                logFailure(chosen.getVm(), failure);
                            });
        }
        if (reading && behindRounds == HANGING_ROUNDS) {
            watches.values().stream().filter(KindWatch::isReachable).forEach(KindWatch::restart);
        }
    }

    private static void logFailure(String peer, Throwable failure) {
        if (failure != null) {
            EventLog.info(
                    LogEvent.PEER_READ_FAILED,
                    "from=" + peer + " cause=\"" + failure.getMessage() + "\"");
        }
    }

    @Override
    public void onChange(String kind) {
        onChange.accept(kind);
        feed.onChange(kind);
    }

    private void onPeerChange(String kind) {
        onChange(kind);
        if (reading) {
            watches.get(kind).expectChange();
        }
    }

    @Override
    public void onReachable(String kind, boolean reachable) {
        if (reachable && !isLost()) {
            state.endpointList().recordPlatformRecovery(0, System.nanoTime());
        }
    }

    /** A peer that is polled for changes, until it is left. */
    private final class Source {
        private final String address;
        private final HttpCaller caller;
        private boolean left;

        private Source(String address) {
            this.address = address;
            this.caller = peers.connect(address);
        }

        private void poll() {
            peers.read(caller, POLL_MILLIS).whenComplete((nothing, failure) -> polled(failure));
        }

        private void polled(Throwable failure) {
            if (left || stopped) {
                return;
            }
            if (failure == null) {
                poll();
                return;
            }
            logFailure(address, failure);
            failedUntil.put(address, System.nanoTime() + FAILED_NANOS);
            leaveSource();
            decide();
        }

        private void close() {
            left = true;
            caller.close();
        }
    }
}
