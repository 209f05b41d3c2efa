package org.bronzelug.router.stream;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.core.stream.StreamOrigins;
import org.bronzelug.router.stream.OriginLookup.PlatformRead;

/**
 * The lookups of streams of which this VM has no record. Each asks other VMs for the record and for
 * the versions that the pool has had; the platform is read as well, unless the whole fleet answers
 * at once.
 *
 * <p>Invariants: what a lookup concludes follows from answers and reads that began after it, and a
 * lookup whose pool is known to have had several versions does not read the platform's versions.
 * Confined to the traffic thread.
 */
final class OriginLookups {
    /** Time for the answers: two link delays of milliseconds, and some for a busy VM. */
    private static final long ANSWER_MILLIS = 200;

    /** Healthy VMs answer within this time, so that the platform need not be read. */
    private static final long PLATFORM_DELAY_MILLIS = 20;

    /** Retry delay if no answer can be expected to change: a caller may reach another VM. */
    private static final long UNKNOWN_RETRY_MILLIS = 1_000;

    /** Retry delay if nobody confirms the pool's only version: another VM may know it. */
    private static final long UNCONFIRMED_RETRY_MILLIS = 300;

    private final EventLoop traffic;
    private final StreamOrigins origins;
    private final PoolVersions versions;
    private final Map<StreamKey, List<OriginLookup>> lookups = new HashMap<>();
    private StreamOriginDirectory.Peers peers = new NoPeers();
    private StreamOriginDirectory.Archive archive = new NoArchive();

    OriginLookups(EventLoop traffic, StreamOrigins origins, PoolVersions versions) {
        this.traffic = traffic;
        this.origins = origins;
        this.versions = versions;
    }

    /** Nothing is kept. */
    private static final class NoArchive implements StreamOriginDirectory.Archive {
        @Override
        public void find(StreamKey key, Consumer<StreamOriginDirectory.ArchivedOrigin> onRead) {
            onRead.accept(new StreamOriginDirectory.ArchivedOrigin(Optional.empty(), false));
        }

        @Override
        public void readVersions(Consumer<Optional<RecentVersions>> onRead) {
            onRead.accept(Optional.empty());
        }

        @Override
        public void forget(StreamKey key) {
            // Nothing is kept.
        }
    }

    /** A fleet of one VM. */
    private final class NoPeers implements StreamOriginDirectory.Peers {
        @Override
        public void keep(List<StreamOrigin> begun) {
            // No other VM could keep them.
        }

        @Override
        public void copy(List<StreamOrigin> begun) {
            // No other VM could keep them.
        }

        @Override
        public void ask(StreamKey key, String pool) {
            onAsked(key, 0, 1);
        }

        @Override
        public void askAll(StreamKey key, String pool) {
            onAsked(key, 0, 1);
        }
    }

    void setPeers(StreamOriginDirectory.Peers fleet) {
        peers = fleet;
    }

    StreamOriginDirectory.Peers peers() {
        return peers;
    }

    void setArchive(StreamOriginDirectory.Archive stored) {
        archive = stored;
    }

    StreamOriginDirectory.Archive archive() {
        return archive;
    }

    /** Begins a lookup. */
    void begin(OriginLookup lookup) {
        StreamKey question = lookup.key().orElseGet(OriginLookups::newQuestion);
        lookups.computeIfAbsent(question, known -> new ArrayList<>()).add(lookup);
        awaitAnswers(question, lookup);
        // Another lookup of the stream may be in progress, whose answers have arrived in part.
        peers.ask(question, lookup.pool().orElse(""));
    }

    /** Returns the key of no stream, under which VMs answer with their versions only. */
    private static StreamKey newQuestion() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return new StreamKey(random.nextLong(), random.nextLong());
    }

    private void awaitAnswers(StreamKey question, OriginLookup lookup) {
        int wait = lookup.beginAnswers();
        traffic.schedule(
                () -> {
                    lookup.endAnswers(wait);
                    endIfDecided(question, lookup);
                },
                ANSWER_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Records how many VMs were asked, and how many the fleet has. */
    void onAsked(StreamKey question, int vms, int fleetSize) {
        for (OriginLookup lookup : lookupsOf(question)) {
            lookup.recordAsked(vms, fleetSize);
            boolean readable =
                    lookup.pool().filter(pool -> versions.recent(pool).size() <= 1).isPresent();
            boolean first = lookup.platformRead() == PlatformRead.NOT_BEGUN;
            if (readable && first && !lookup.isCertain(ownAnswer(lookup))) {
                lookup.beginPlatformRead();
                long delayMillis = lookup.leavesOutVms() ? 0 : PLATFORM_DELAY_MILLIS;
                traffic.schedule(
                        () -> readPlatform(question, lookup), delayMillis, TimeUnit.MILLISECONDS);
            }
            endIfDecided(question, lookup);
        }
    }

    /** Records the answer of another VM. */
    void onAnswer(StreamKey question, String vm, OriginEvidence.Answer answer) {
        for (OriginLookup lookup : lookupsOf(question)) {
            lookup.add(vm, answer);
            endIfDecided(question, lookup);
        }
    }

    private List<OriginLookup> lookupsOf(StreamKey question) {
        return List.copyOf(lookups.getOrDefault(question, List.of()));
    }

    private void readPlatform(StreamKey question, OriginLookup lookup) {
        if (!lookup.hasEnded()) {
            archive.readVersions(current -> onPlatformRead(question, lookup, current));
        }
    }

    private void onPlatformRead(
            StreamKey question, OriginLookup lookup, Optional<RecentVersions> current) {
        current.ifPresent(versions::recordRead);
        if (lookup.hasEnded()) {
            return;
        }
        String pool = lookup.pool().orElse("");
        if (current.isPresent()) {
            Set<String> stored = current.get().byPool().getOrDefault(pool, Set.of());
            lookup.recordPlatformRead(stored, versions.isComplete(current.get(), pool));
        } else {
            lookup.recordPlatformFailure();
            if (lookup.leavesOutVms()) {
                awaitAnswers(question, lookup);
                peers.askAll(question, pool);
            }
        }
        endIfDecided(question, lookup);
    }

    private void endIfDecided(StreamKey question, OriginLookup lookup) {
        if (lookup.isDecided(ownAnswer(lookup)) && lookup.end()) {
            lookups.get(question).remove(lookup);
            if (lookups.get(question).isEmpty()) {
                lookups.remove(question);
            }
            conclude(lookup);
        }
    }

    private OriginEvidence.Answer ownAnswer(OriginLookup lookup) {
        return versions.answer(Optional.empty(), lookup.pool());
    }

    private void conclude(OriginLookup lookup) {
        long nowNanos = System.nanoTime();
        // Another lookup of the same stream may have found its record meanwhile.
        Optional<StreamOrigin> recorded =
                lookup.key().flatMap(key -> origins.find(key, nowNanos)).or(lookup::origin);
        Optional<OriginEvidence.SoleVersion> sole = lookup.soleVersion(ownAnswer(lookup));
        Optional<StreamOrigin> concluded =
                sole.flatMap(only -> lookup.origin(only.version(), nowNanos));
        if (recorded.isPresent()) {
            origins.record(recorded.get(), nowNanos);
            lookup.listener().onFound(recorded.get(), "record of a peer, " + lookup.describe());
        } else if (concluded.isPresent()) {
            String witness = sole.get().witness().name().toLowerCase(Locale.ROOT);
            lookup.listener()
                    .onFound(
                            concluded.get(),
                            "sole version, witness=" + witness + ", " + lookup.describe());
        } else if (lookup.key().isPresent()) {
            StreamKey key = lookup.key().get();
            archive.find(key, archived -> concludeArchived(lookup, archived));
        } else {
            lookup.listener().onUnknown(describe(lookup), retryMillis(lookup, false));
        }
    }

    private void concludeArchived(
            OriginLookup lookup, StreamOriginDirectory.ArchivedOrigin archived) {
        if (archived.origin().isPresent()) {
            origins.record(archived.origin().get(), System.nanoTime());
            lookup.listener().onFound(archived.origin().get(), "platform, " + lookup.describe());
        } else {
            boolean hopeless = archived.known() && lookup.haveAllAnswered();
            lookup.listener()
                    .onUnknown(
                            describe(lookup) + " platformRead=" + archived.known(),
                            retryMillis(lookup, hopeless));
        }
    }

    private static String describe(OriginLookup lookup) {
        return lookup.describe()
                + (" versionsRead=" + lookup.platformRead().name().toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the retry delay of a resumption that is rejected: until the pool's only version is
     * known, if it has one.
     *
     * @param hopeless whether nobody has a record of the stream, so that it can't be resumed while
     *     its caller waits
     */
    private long retryMillis(OriginLookup lookup, boolean hopeless) {
        boolean mayBeKnown =
                lookup.pool().filter(name -> versions.recent(name).size() == 1).isPresent();
        if (mayBeKnown) {
            boolean read = lookup.platformRead() == PlatformRead.SUCCEEDED;
            long unwatchedMillis = read ? versions.unwatchedMillis() : 0;
            return Math.max(UNCONFIRMED_RETRY_MILLIS, 1 + unwatchedMillis);
        }
        return hopeless ? versions.recent().windowMillis() : UNKNOWN_RETRY_MILLIS;
    }
}
