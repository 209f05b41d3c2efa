package org.bronzelug.client;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** One channel a VM, opened when needed. Thread-safe. */
public final class Channels implements AutoCloseable {
    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

    /** The channel to the VM at "IP number:port". */
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
