package org.bronzelug.router.stream;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bronzelug.core.membership.ZoneSpread;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that continues at a guessed version while messages between VMs are lost,
 * doubled or late and VMs are replaced.
 */
class StreamOriginDirectoryTest {
    private static final String POOL = "pool";
    private static final int VMS = 7;
    private static final int ZONES = 4;
    private static final int STREAMS = 20;
    private static final int HOLDERS = 3;
    private static final int ASKED_VMS = 6;
    private static final String UNKNOWN = "unknown";
    private static final Route ROUTE = ResumableRoute.to(POOL);

    /** What the platform keeps of a pool that had one version for longer than a stream lasts. */
    private static final RecentVersions STORED =
            new RecentVersions(Map.of(POOL, Set.of("v1")), 62_000, true);

    private final EventLoop traffic = new DefaultEventLoop();

    @AfterEach
    void stop() {
        traffic.shutdownGracefully();
    }

    private static List<EndpointEntry> endpoints(String... versions) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String version : versions) {
            entries.add(
                    new EndpointEntry(
                            version, POOL, "127.0.0.1:9", "z", version, 1, false, 1, Map.of()));
        }
        return entries;
    }

    /** VMs whose messages are lost, doubled and late at random. Used on the traffic thread only. */
    private final class Fleet {
        private final Map<String, StreamOriginDirectory> directories = new HashMap<>();
        private final Random random;
        private final double lost;

        Fleet(Random random, double lost) {
            this.random = random;
            this.lost = lost;
            for (int vm = 0; vm < VMS; vm++) {
                replace(vm);
            }
        }

        StreamOriginDirectory vm(int vm) {
            return directories.get("vm-" + vm);
        }

        /** Starts a VM that knows nothing. */
        void replace(int vm) {
            StreamOriginDirectory directory = new StreamOriginDirectory(traffic);
            directory.setPeers(new Links("vm-" + vm));
            directory.update(endpoints("v1", "v2"), true, List.of(ROUTE));
            directories.put("vm-" + vm, directory);
        }

        private List<String> peers(String self, StreamKey key, int count) {
            Map<String, String> zones = new HashMap<>();
            for (int vm = 0; vm < VMS; vm++) {
                zones.put("vm-" + vm, "zone-" + vm % ZONES);
            }
            return ZoneSpread.order(key.toString(), zones).stream()
                    .filter(vm -> !vm.equals(self))
                    .limit(count)
                    .toList();
        }

        private void send(Runnable message) {
            int copies = random.nextDouble() < lost ? 0 : 1 + random.nextInt(2);
            for (int copy = 0; copy < copies; copy++) {
                if (random.nextBoolean()) {
                    traffic.execute(message);
                } else {
                    traffic.schedule(message, random.nextInt(20), TimeUnit.MILLISECONDS);
                }
            }
        }

        /** The messages of one VM. */
        private final class Links implements StreamOriginDirectory.Peers {
            private final String self;

            private Links(String self) {
                this.self = self;
            }

            @Override
            public void keep(List<StreamOrigin> begun) {
                begun.forEach(origin -> sendToHolders(origin, HOLDERS));
            }

            @Override
            public void copy(List<StreamOrigin> begun) {
                begun.forEach(origin -> sendToHolders(origin, 1));
            }

            private void sendToHolders(StreamOrigin origin, int holders) {
                for (String holder : peers(self, origin.key(), holders)) {
                    send(() -> directories.get(holder).keep(origin));
                }
            }

            @Override
            public void ask(StreamKey key, String pool) {
                StreamOriginDirectory asking = directories.get(self);
                List<String> asked = peers(self, key, ASKED_VMS);
                traffic.execute(() -> asking.onAsked(key, asked.size(), VMS));
                for (String peer : asked) {
                    send(
                            () -> {
                                OriginEvidence.Answer answer =
                                        directories.get(peer).answer(key, pool);
                                send(() -> asking.onAnswer(key, peer, answer));
                            });
                }
            }

            @Override
            public void askAll(StreamKey key, String pool) {
                ask(key, pool);
            }
        }
    }

    private static StreamKey key(int stream) {
        return StreamKey.of(Optional.of("team"), "request-" + stream);
    }

    private static CompletableFuture<String> find(
            StreamOriginDirectory directory, Optional<StreamKey> key) {
        CompletableFuture<String> version = new CompletableFuture<>();
        directory.find(
                key,
                Optional.of(POOL),
                new StreamOriginDirectory.Listener() {
                    @Override
                    public void onFound(StreamOrigin origin, String source) {
                        version.complete(origin.softwareVersion());
                    }

                    @Override
                    public void onUnknown(String reason, long retryAfterMillis) {
                        version.complete(UNKNOWN);
                    }
                });
        return version;
    }

    private <T> T onTraffic(Callable<T> call) throws Exception {
        return traffic.submit(call).get(10, TimeUnit.SECONDS);
    }

    /** Begins streams, replaces VMs and resumes each stream twice; returns the versions found. */
    private List<String> resume(long seed, double lost, int replacedVms) throws Exception {
        Random random = new Random(seed);
        Fleet fleet = onTraffic(() -> new Fleet(random, lost));
        onTraffic(
                () -> {
                    for (int stream = 0; stream < STREAMS; stream++) {
                        long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
                        fleet.vm(stream % VMS)
                                .recordBegun(key(stream), POOL, version(stream), limitNanos);
                    }
                    return true;
                });
        TimeUnit.MILLISECONDS.sleep(30);
        List<CompletableFuture<String>> found =
                onTraffic(
                        () -> {
                            for (int vm = 0; vm < replacedVms; vm++) {
                                fleet.replace(random.nextInt(VMS));
                            }
                            List<CompletableFuture<String>> lookups = new ArrayList<>();
                            for (int stream = 0; stream < 2 * STREAMS; stream++) {
                                StreamKey key = key(stream % STREAMS);
                                int vm = random.nextInt(VMS);
                                lookups.add(find(fleet.vm(vm), Optional.of(key)));
                            }
                            return lookups;
                        });
        List<String> versions = new ArrayList<>();
        for (CompletableFuture<String> lookup : found) {
            versions.add(lookup.get(10, TimeUnit.SECONDS));
        }
        return versions;
    }

    private static String version(int stream) {
        return "v" + (1 + stream % 2);
    }

    @Property(tries = 12, seed = "41")
    void aVersionIsNeverGuessed(
            @ForAll long seed,
            @ForAll @IntRange(max = 9) int lostTenths,
            @ForAll @IntRange(max = VMS) int replacedVms)
            throws Exception {
        List<String> versions = resume(seed, lostTenths / 10.0, replacedVms);
        for (int stream = 0; stream < versions.size(); stream++) {
            assertThat(versions.get(stream)).isAnyOf(version(stream % STREAMS), UNKNOWN);
        }
    }

    /** Guards against records that are lost with fewer VMs than hold them. */
    @Property(tries = 6, seed = "42")
    void aVersionIsFoundAfterFewerVmsAreReplacedThanHoldIt(@ForAll long seed) throws Exception {
        List<String> versions = resume(seed, 0, HOLDERS - 1);
        assertThat(versions).doesNotContain(UNKNOWN);
    }

    @Test
    void aPoolsOnlyVersionIsKnownFromThePlatform() throws Exception {
        String found =
                onTraffic(
                                () -> {
                                    StreamOriginDirectory started =
                                            new StreamOriginDirectory(traffic);
                                    started.versions().adopt(STORED);
                                    started.update(endpoints("v1"), true, List.of(ROUTE));
                                    return find(started, Optional.empty());
                                })
                        .get(10, TimeUnit.SECONDS);
        assertThat(found).isEqualTo("v1");
    }

    /** The stored versions are of the time before the VM started, the list is of now. */
    @Test
    void anotherStoredVersionMayHaveBegunTheStream() throws Exception {
        String found =
                onTraffic(
                                () -> {
                                    StreamOriginDirectory started =
                                            new StreamOriginDirectory(traffic);
                                    started.versions().adopt(STORED);
                                    started.update(endpoints("v2"), true, List.of(ROUTE));
                                    return find(started, Optional.empty());
                                })
                        .get(10, TimeUnit.SECONDS);
        assertThat(found).isEqualTo(UNKNOWN);
    }
}
