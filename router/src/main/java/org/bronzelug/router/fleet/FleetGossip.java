package org.bronzelug.router.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.kernel.Service;
import org.bronzelug.kernel.ServiceException;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.http.SocketSettings;

/**
 * Exchanges state updates with the other VMs by datagram.
 *
 * <p>{@link #send} addresses up to {@link #PEERS_PER_ROUND} peers, so that one round reaches all
 * peers of a small fleet, and several rounds, together called a turn, reach all peers of a large
 * one. Datagrams are neither acknowledged nor sent again: each state update supersedes the previous
 * one, so the next one makes up for a lost one.
 *
 * <p>Invariant: in each turn every peer is addressed once before any is addressed again. Confined
 * to the control thread, except for start and stop.
 */
public final class FleetGossip implements Service {
    public static final String NAME = "fleet-gossip";

    /** Maximum number of peers of a VM in a small fleet, in which each round reaches all peers. */
    private static final int SMALL_FLEET_PEERS = 12;

    /** Peers addressed in one round, which bounds the bytes that each VM sends in a large fleet. */
    private static final int PEERS_PER_ROUND = 24;

    /**
     * Size of a receive buffer in bytes: the largest payload of a datagram. A datagram that exceeds
     * the buffer is truncated, and then can't be decoded.
     */
    private static final int MAXIMUM_DATAGRAM_BYTES = 65_507;

    /** Bounds the receive buffers that are allocated at the same time. */
    private static final int DATAGRAMS_PER_READ = 4;

    private final EventLoop control;
    private final String address;
    private final BiConsumer<VmState, Long> onState;
    private final Deque<String> turnQueue = new ArrayDeque<>();
    private final Map<String, InetSocketAddress> resolvedAddresses = new HashMap<>();
    private Optional<Channel> channel = Optional.empty();

    /**
     * @param address IP:port that this VM listens on
     * @param onState receives the state updates of peers and the time of their arrival, by the
     *     local monotonic clock
     */
    public FleetGossip(EventLoop control, String address, BiConsumer<VmState, Long> onState) {
        this.control = control;
        this.address = address;
        this.onState = onState;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() throws ServiceException {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(control)
                        .channel(NioDatagramChannel.class)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES)
                                        .maxMessagesPerRead(DATAGRAMS_PER_READ))
                        .handler(new Receiver());
        try {
            InetSocketAddress local = SocketSettings.address(address);
            channel = Optional.of(bootstrap.bind(local).syncUninterruptibly().channel());
        } catch (RuntimeException failed) {
            throw new ServiceException(
                    "cannot listen for peers on " + address + ": free the port", failed);
        }
    }

    /** Returns whether a fleet of this many VMs is small, so that each round reaches all peers. */
    public static boolean isSmall(int vms) {
        return vms - 1 <= SMALL_FLEET_PEERS;
    }

    /** Returns the number of rounds that reach all peers once. */
    static int roundsPerTurn(int vms) {
        int peers = Math.max(1, vms - 1);
        return (peers + PEERS_PER_ROUND - 1) / PEERS_PER_ROUND;
    }

    /** Sends the state to one peer at once, regardless of its turn. */
    public void sendTo(VmState state, String target) {
        channel.ifPresent(open -> writeToAll(open, state.toByteArray(), List.of(target)));
    }

    /** Sends the state to the peers whose turn it is in this round. */
    public void send(VmState state, Iterable<String> addresses) {
        List<String> targets = nextTargets(addresses);
        byte[] bytes = state.toByteArray();
        channel.ifPresent(open -> writeToAll(open, bytes, targets));
    }

    /** Sends the state to all peers at once. */
    public void sendToAll(VmState state, Set<String> addresses) {
        byte[] bytes = state.toByteArray();
        List<String> targets =
                addresses.stream().filter(target -> !target.equals(address)).toList();
        channel.ifPresent(open -> writeToAll(open, bytes, targets));
    }

    /**
     * Returns the peers to address in this round, each once before any is addressed again. With a
     * random choice, a third of a large fleet would receive no state update for longer than the
     * time after which a VM is no longer considered live.
     */
    private List<String> nextTargets(Iterable<String> addresses) {
        Set<String> peers = new HashSet<>();
        addresses.forEach(peers::add);
        peers.remove(address);
        turnQueue.retainAll(peers);
        if (turnQueue.size() < PEERS_PER_ROUND) {
            List<String> next = new ArrayList<>(peers);
            next.removeAll(turnQueue);
            Collections.shuffle(next);
            turnQueue.addAll(next);
        }
        List<String> targets = new ArrayList<>();
        while (targets.size() < PEERS_PER_ROUND && !turnQueue.isEmpty()) {
            targets.add(turnQueue.pollFirst());
        }
        return targets;
    }

    private void writeToAll(Channel open, byte[] bytes, List<String> targets) {
        for (String target : targets) {
            InetSocketAddress to =
                    resolvedAddresses.computeIfAbsent(target, SocketSettings::address);
            open.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), open.voidPromise());
        }
        open.flush();
    }

    @Override
    public void stop() {
        channel.ifPresent(Channel::close);
    }

    /** Decodes the datagrams that arrive. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            try {
                onState.accept(VmState.parseFrom(bytes), System.nanoTime());
            } catch (InvalidProtocolBufferException malformed) {
                EventLog.warn(
                        LogEvent.PEER_REFUSED,
                        "from=" + packet.sender() + " cause=\"" + malformed.getMessage() + "\"");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // This VM's socket reports that a peer could not be reached; the next round that
            // addresses the peer sends to it again.
            EventLog.debug(LogEvent.PEER_UNREACHABLE, "cause=\"" + cause.getMessage() + "\"");
        }
    }
}
