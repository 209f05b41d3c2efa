package org.bronzelug.client;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Caches one gRPC channel per VM, opened on first use. Thread-safe. */
public final class Channels implements AutoCloseable {
    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

    /** Returns the channel to the VM at an address of the form {@code IP:port}. */
    public ManagedChannel to(String address) {
        return channels.computeIfAbsent(
                address,
                target -> NettyChannelBuilder.forTarget("dns:///" + target).usePlaintext().build());
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
        channels.clear();
    }
}
