package org.bronzelug.router.stream;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a stream that goes on at a VM's only known version although nobody confirms that
 * there is no other one, and against rejecting it although somebody does.
 */
class SoleVersionWitnessTest {
    private static final String POOL = "pool";
    private static final int PEERS = 6;
    private static final long WINDOW_MILLIS = 62_000;
    private static final OriginEvidence.Answer SAME = answer(true, "v1");
    private static final OriginEvidence.Answer OTHER = answer(true, "v1", "v2");
    private static final OriginEvidence.Answer UNWATCHED = answer(false, "v1");
    private static final Optional<RecentVersions> SILENT = Optional.empty();
    private static final Optional<RecentVersions> SAME_STORED = stored("v1");
    private static final Optional<RecentVersions> OTHER_STORED = stored("v1", "v2");
    private static final Route ROUTE = ResumableRoute.to(POOL);

    private final EventLoop traffic = new DefaultEventLoop();
    private int reads;
    private int asksOfAll;

    @AfterEach
    void stop() {
        traffic.shutdownGracefully();
    }

    /**
     * What the other VMs and the platform say to a VM that knows one version.
     *
     * @param asked the VMs that it can ask at first, of {@link #PEERS}
     * @param expected the source of the version that is concluded; "unknown" if none is
     */
    private record Case(
            String name,
            int asked,
            List<OriginEvidence.Answer> answers,
            Optional<RecentVersions> platform,
            String expected) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static OriginEvidence.Answer answer(boolean watched, String... versions) {
        return new OriginEvidence.Answer(Optional.empty(), Set.of(versions), watched);
    }

    private static Optional<RecentVersions> stored(String... versions) {
        return Optional.of(new RecentVersions(Map.of(POOL, Set.of(versions)), WINDOW_MILLIS, true));
    }

    private static Stream<Case> cases() {
        List<OriginEvidence.Answer> minority = List.of(SAME, SAME);
        List<OriginEvidence.Answer> majority = List.of(SAME, SAME, SAME);
        List<OriginEvidence.Answer> all = List.of(SAME, SAME, SAME, SAME, SAME, SAME);
        List<OriginEvidence.Answer> oneDiffers = List.of(SAME, SAME, SAME, SAME, SAME, OTHER);
        return Stream.of(
                new Case("nobody answers", PEERS, List.of(), SILENT, "unknown"),
                new Case("no VM is live", 0, List.of(), SILENT, "unknown"),
                new Case("a minority", PEERS, minority, SILENT, "unknown"),
                new Case(
                        "a majority that has not watched",
                        PEERS,
                        List.of(UNWATCHED, UNWATCHED, UNWATCHED, SAME, SAME),
                        SILENT,
                        "unknown"),
                new Case("a majority", PEERS, majority, SILENT, "witness=majority"),
                new Case("all VMs", PEERS, all, SILENT, "witness=fleet"),
                new Case("one VM knows another", PEERS, oneDiffers, SAME_STORED, "unknown"),
                new Case("the platform", PEERS, List.of(), SAME_STORED, "witness=platform"),
                new Case("the platform alone", 0, List.of(), SAME_STORED, "witness=platform"),
                new Case("another stored", PEERS, majority, OTHER_STORED, "unknown"));
    }

    /** Answers at once for other VMs of a fleet, and for the platform. */
    private StreamOriginDirectory directory(
            int asked,
            int fleetSize,
            List<OriginEvidence.Answer> answers,
            Optional<RecentVersions> platform) {
        StreamOriginDirectory directory = new StreamOriginDirectory(traffic);
        directory.setPeers(
                new StreamOriginDirectory.Peers() {
                    @Override
                    public void keep(List<StreamOrigin> begun) {
                        // No stream is resumed from a record.
                    }

                    @Override
                    public void copy(List<StreamOrigin> begun) {
                        // No stream is resumed from a record.
                    }

                    @Override
                    public void ask(StreamKey key, String pool) {
                        answer(key, asked);
                    }

                    @Override
                    public void askAll(StreamKey key, String pool) {
                        asksOfAll++;
                        answer(key, fleetSize - 1);
                    }

                    private void answer(StreamKey key, int vms) {
                        traffic.execute(() -> directory.onAsked(key, vms, fleetSize));
                        for (int vm = 0; vm < Math.min(vms, answers.size()); vm++) {
                            String name = "vm-" + vm;
                            OriginEvidence.Answer answer = answers.get(vm);
                            traffic.execute(() -> directory.onAnswer(key, name, answer));
                            traffic.execute(() -> directory.onAnswer(key, name, answer));
                        }
                    }
                });
        directory.setArchive(
                new StreamOriginDirectory.Archive() {
                    @Override
                    public void find(
                            StreamKey key, Consumer<StreamOriginDirectory.ArchivedOrigin> onRead) {
                        onRead.accept(
                                new StreamOriginDirectory.ArchivedOrigin(Optional.empty(), false));
                    }

                    @Override
                    public void readVersions(Consumer<Optional<RecentVersions>> onRead) {
                        reads++;
                        traffic.execute(() -> onRead.accept(platform));
                    }

                    @Override
                    public void forget(StreamKey key) {
                        // Nothing is kept.
                    }
                });
        directory.versions().adopt(SAME_STORED.get());
        update(directory, "v1");
        return directory;
    }

    private static void update(StreamOriginDirectory directory, String... versions) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String version : versions) {
            entries.add(
                    new EndpointEntry(
                            version, POOL, "127.0.0.1:9", "z", version, 1, false, 1, Map.of()));
        }
        directory.update(entries, true, List.of(ROUTE));
    }

    /** Returns the source of the version that was found. */
    private String find(StreamOriginDirectory directory, Optional<StreamKey> key) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        StreamOriginDirectory.Listener listener =
                new StreamOriginDirectory.Listener() {
                    @Override
                    public void onFound(StreamOrigin origin, String source) {
                        outcome.complete(origin.softwareVersion() + ", " + source);
                    }

                    @Override
                    public void onUnknown(String reason, long retryAfterMillis) {
                        outcome.complete("unknown");
                    }
                };
        traffic.execute(() -> directory.find(key, Optional.of(POOL), listener));
        return outcome.get(10, TimeUnit.SECONDS);
    }

    private static void assertOutcome(String found, String expected) {
        if (expected.equals("unknown")) {
            assertThat(found).isEqualTo("unknown");
        } else {
            assertThat(found).startsWith("v1, sole version, " + expected + ", asked=");
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    void aSoleVersionIsConcludedWithAWitnessOnly(Case witnesses) throws Exception {
        StreamOriginDirectory directory =
                directory(witnesses.asked, PEERS + 1, witnesses.answers, witnesses.platform);
        StreamKey stream = StreamKey.of(Optional.empty(), "stream");
        assertOutcome(find(directory, Optional.of(stream)), witnesses.expected);
        assertOutcome(find(directory, Optional.empty()), witnesses.expected);
    }

    @Test
    void aVmAloneKnowsItsOnlyVersionWithoutThePlatform() throws Exception {
        StreamOriginDirectory directory = directory(0, 1, List.of(), SILENT);
        assertOutcome(find(directory, Optional.empty()), "witness=alone");
        assertThat(reads).isEqualTo(0);
    }

    /** Guards against calls to the platform for each stream while all VMs are healthy. */
    @Test
    void thePlatformIsNotReadIfTheWholeFleetAnswers() throws Exception {
        StreamOriginDirectory directory = directory(2, 3, List.of(SAME, SAME), SAME_STORED);
        assertOutcome(find(directory, Optional.empty()), "witness=fleet");
        assertThat(reads).isEqualTo(0);
    }

    /** Guards against calls to the platform which can't change that several versions are known. */
    @Test
    void thePlatformIsNotReadIfSeveralVersionsAreKnown() throws Exception {
        StreamOriginDirectory directory = directory(2, 3, List.of(), SAME_STORED);
        traffic.submit(() -> update(directory, "v1", "v2")).get();
        assertOutcome(find(directory, Optional.empty()), "unknown");
        assertThat(reads).isEqualTo(0);
    }

    /** In a large fleet few VMs are asked at first; without the platform, all of them are. */
    @Test
    void allVmsOfALargeFleetAreAskedWithoutThePlatform() throws Exception {
        StreamOriginDirectory directory =
                directory(1, PEERS + 1, List.of(SAME, SAME, SAME, SAME), SILENT);
        assertOutcome(find(directory, Optional.empty()), "witness=majority");
        assertThat(asksOfAll).isEqualTo(1);
    }

    /** The list of a VM that has stood still may be from before a release, whoever else agrees. */
    @Test
    void aVmThatHasStoodStillIsNoWitnessUntilItHasReadThePlatform() throws Exception {
        StreamOriginDirectory alone = directory(0, 1, List.of(), SILENT);
        StreamOriginDirectory reading = directory(0, 1, List.of(), SAME_STORED);
        TimeUnit.MILLISECONDS.sleep(1_100);
        assertOutcome(find(alone, Optional.empty()), "unknown");
        assertOutcome(find(reading, Optional.empty()), "witness=platform");
        traffic.submit(() -> update(alone, "v1")).get();
        assertOutcome(find(alone, Optional.empty()), "unknown");
        assertThat(alone.versions().recent().complete()).isFalse();
        assertThat(alone.answer(new StreamKey(1, 1), POOL).watched()).isFalse();
        assertThat(reading.answer(new StreamKey(1, 1), POOL).watched()).isTrue();
    }
}
