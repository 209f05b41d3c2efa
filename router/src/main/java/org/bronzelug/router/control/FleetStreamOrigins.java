package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.bronzelug.api.fleet.v1.StreamOriginAnswer;
import org.bronzelug.api.fleet.v1.StreamOriginQuery;
import org.bronzelug.api.fleet.v1.StreamOriginRecord;
import org.bronzelug.api.fleet.v1.VersionWatch;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.core.membership.ZoneSpread;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.router.fleet.FleetGossip;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.stream.RecentVersions;
import org.bronzelug.router.stream.StreamOriginDirectory;

/**
 * Exchanges the origins of streams with the other VMs, in datagrams that are not acknowledged: a
 * lost record is kept by the other holders, a lost copy is sent again later, and a lost answer
 * counts as none.
 *
 * <p>Each stream has its holders: the first VMs of the {@link ZoneSpread} of its key. More VMs are
 * asked than keep a record, since VMs differ for a moment in who is live. In a small fleet all are
 * asked: if all answer, they confirm a pool's only version without the platform.
 *
 * <p>Invariant: messages of this class carry nothing else, so that they change no member's state.
 * Confined to the control thread, except for {@link #keep}, {@link #copy}, {@link #ask}, {@link
 * #askAll}, {@link #find}, {@link #readVersions} and {@link #forget}.
 */
final class FleetStreamOrigins
        implements StreamOriginDirectory.Peers, StreamOriginDirectory.Archive {
    /** With these and the VM that began the stream, two availability zones may be lost. */
    private static final int HOLDERS = 3;

    private static final int ASKED_VMS = 6;

    /** Bounds a datagram to some kilobytes. */
    private static final int RECORDS_PER_MESSAGE = 100;

    private final EventLoop control;
    private final EventLoop traffic;
    private final VmSettings settings;
    private final MemberTable members;
    private final FleetGossip gossip;
    private final StreamOriginDirectory directory;
    private final StoredState stored;

    FleetStreamOrigins(
            EventLoop control,
            EventLoop traffic,
            VmSettings settings,
            MemberTable members,
            FleetGossip gossip,
            StreamOriginDirectory directory,
            StoredState stored) {
        this.control = control;
        this.traffic = traffic;
        this.settings = settings;
        this.members = members;
        this.gossip = gossip;
        this.directory = directory;
        this.stored = stored;
    }

    @Override
    public void keep(List<StreamOrigin> begun) {
        control.execute(
                () -> {
                    send(begun, UnaryOperator.identity());
                    stored.origins().add(begun);
                });
    }

    @Override
    public void copy(List<StreamOrigin> begun) {
        control.execute(() -> send(begun, this::one));
    }

    @Override
    public void find(StreamKey key, Consumer<StreamOriginDirectory.ArchivedOrigin> onRead) {
        control.execute(
                () ->
                        stored.origins()
                                .find(key, origin -> traffic.execute(() -> onRead.accept(origin))));
    }

    @Override
    public void readVersions(Consumer<Optional<RecentVersions>> onRead) {
        control.execute(
                () ->
                        stored.currentVersions()
                                .read(read -> traffic.execute(() -> onRead.accept(read))));
    }

    @Override
    public void forget(StreamKey key) {
        control.execute(() -> stored.origins().forget(key));
    }

    /** Sends the origins to some of the VMs that may become their holders. */
    private void send(List<StreamOrigin> begun, UnaryOperator<List<VmState>> choice) {
        long nowNanos = System.nanoTime();
        List<VmState> accepting =
                states(members.live(nowNanos)).stream()
                        .filter(peer -> !peer.getStopping())
                        .toList();
        Map<String, VmState.Builder> messages = new HashMap<>();
        for (StreamOrigin origin : begun) {
            for (VmState peer : choice.apply(first(HOLDERS, origin.key(), accepting))) {
                String holder = peer.getPeersAddress();
                VmState.Builder message =
                        messages.computeIfAbsent(holder, address -> newMessage())
                                .addStreamOrigins(StreamOriginMessages.encode(origin, nowNanos));
                if (message.getStreamOriginsCount() == RECORDS_PER_MESSAGE) {
                    gossip.sendTo(messages.remove(holder).build(), holder);
                }
            }
        }
        messages.forEach((holder, message) -> gossip.sendTo(message.build(), holder));
    }

    /** Chooses one holder, in another availability zone than this VM if there is one. */
    private List<VmState> one(List<VmState> holders) {
        return holders.stream()
                .filter(peer -> !peer.getAvailabilityZone().equals(settings.availabilityZone()))
                .findFirst()
                .or(() -> holders.stream().findFirst())
                .stream()
                .toList();
    }

    @Override
    public void ask(StreamKey key, String pool) {
        control.execute(
                () -> {
                    boolean small = FleetGossip.isSmall(members.addresses().size());
                    ask(key, pool, small ? Integer.MAX_VALUE : ASKED_VMS);
                });
    }

    @Override
    public void askAll(StreamKey key, String pool) {
        control.execute(() -> ask(key, pool, Integer.MAX_VALUE));
    }

    /** Asks the first VMs of a stream's order. */
    private void ask(StreamKey key, String pool, int count) {
        long nowNanos = System.nanoTime();
        int fleetSize = members.fleetSize(nowNanos);
        List<VmState> asked = first(count, key, states(members.live(nowNanos)));
        if (asked.size() < Math.min(count, fleetSize / 2)) {
            // This VM may have stalled, so that no VM counts as live though all are.
            asked = first(count, key, states(members.notExpired(nowNanos)));
        }
        int awaited = asked.size();
        traffic.execute(() -> directory.onAsked(key, awaited, fleetSize));
        VmState query =
                newMessage()
                        .addStreamOriginQueries(
                                StreamOriginQuery.newBuilder()
                                        .setKeyHigh(key.high())
                                        .setKeyLow(key.low())
                                        .setPool(pool))
                        .build();
        asked.forEach(peer -> gossip.sendTo(query, peer.getPeersAddress()));
    }

    private static List<VmState> states(List<Member> among) {
        return among.stream().map(Member::state).toList();
    }

    /** Returns the first VMs of a stream's order. */
    private List<VmState> first(int count, StreamKey key, List<VmState> among) {
        Map<String, String> zones = new HashMap<>();
        Map<String, VmState> peers = new HashMap<>();
        zones.put(settings.vm(), settings.availabilityZone());
        for (VmState peer : among) {
            zones.put(peer.getVm(), peer.getAvailabilityZone());
            peers.put(peer.getVm(), peer);
        }
        return ZoneSpread.order(key.toString(), zones).stream()
                .filter(peers::containsKey)
                .limit(count)
                .map(peers::get)
                .toList();
    }

    /** Returns a message that VMs without this class ignore. */
    private VmState.Builder newMessage() {
        return VmState.newBuilder()
                .setVm(settings.vm())
                .setPeersAddress(settings.peersAddress())
                .setCountsOnly(true);
    }

    /** Sends a VM that has just started what this VM has watched of software versions. */
    void sendHistory(String address) {
        traffic.execute(
                () -> {
                    VersionWatch watch =
                            StreamOriginMessages.encode(directory.versions(), System.nanoTime());
                    control.execute(
                            () ->
                                    gossip.sendTo(
                                            newMessage().setVersionWatch(watch).build(), address));
                });
    }

    /** Receives what a message contains for this class. */
    void receive(VmState message, long nowNanos) {
        for (StreamOriginRecord kept : message.getStreamOriginsList()) {
            StreamOrigin origin = StreamOriginMessages.decode(kept, nowNanos);
            traffic.execute(() -> directory.keep(origin));
        }
        for (StreamOriginQuery query : message.getStreamOriginQueriesList()) {
            traffic.execute(() -> answer(query, message.getPeersAddress()));
        }
        for (StreamOriginAnswer answer : message.getStreamOriginAnswersList()) {
            StreamKey key = new StreamKey(answer.getKeyHigh(), answer.getKeyLow());
            OriginEvidence.Answer decoded = StreamOriginMessages.decode(answer, nowNanos);
            traffic.execute(() -> directory.onAnswer(key, message.getVm(), decoded));
        }
        if (message.hasVersionWatch()) {
            VersionWatch watch = message.getVersionWatch();
            traffic.execute(() -> adopt(watch, nowNanos));
        }
    }

    private void adopt(VersionWatch watch, long receivedNanos) {
        directory
                .versions()
                .history()
                .adopt(
                        StreamOriginMessages.nanos(watch.getWatchedMillis()),
                        StreamOriginMessages.decode(watch),
                        receivedNanos);
    }

    private void answer(StreamOriginQuery query, String address) {
        StreamKey key = new StreamKey(query.getKeyHigh(), query.getKeyLow());
        OriginEvidence.Answer known = directory.answer(key, query.getPool());
        StreamOriginAnswer answer = StreamOriginMessages.encode(key, known, System.nanoTime());
        VmState message = newMessage().addStreamOriginAnswers(answer).build();
        control.execute(() -> gossip.sendTo(message, address));
    }
}
