package org.bronzelug.router.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.EndpointUse;
import org.bronzelug.api.fleet.v1.VmState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against state updates of busy VMs in large fleets that are truncated on arrival and
 * dropped with the orders, rates and requests in flight that they report.
 */
class FleetGossipTest {
    private static final long ARRIVAL_SECONDS = 5;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<VmState> received = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static String freeAddress() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(loopback, 0))) {
            return loopback.getHostAddress() + ":" + socket.getLocalPort();
        }
    }

    private static VmState state(int endpoints) {
        VmState.Builder state = VmState.newBuilder().setVm("vm-1").setSequence(1);
        for (int endpoint = 0; endpoint < endpoints; endpoint++) {
            state.addEndpoints(
                    EndpointUse.newBuilder().setEndpoint("endpoint-" + endpoint).setRequests(3));
        }
        return state.build();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 63, 200, 1_100})
    void aStateUpdateArrivesWholeWhateverTheNumberOfEndpoints(int endpoints) throws Exception {
        EventLoop control = group.next();
        String receiver = freeAddress();
        FleetGossip to = new FleetGossip(control, receiver, (state, nanos) -> received.add(state));
        FleetGossip from = new FleetGossip(control, freeAddress(), (state, nanos) -> {});
        to.start();
        from.start();
        VmState sent = state(endpoints);
        control.submit(() -> from.send(sent, List.of(receiver))).get();
        assertThat(received.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS)).isEqualTo(sent);
        from.stop();
        to.stop();
    }
}
