package org.bronzelug.router.stream;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.core.stream.StreamOrigins;

/**
 * Knows at which software version each resumable stream began, so that its caller can resume it at
 * any VM.
 *
 * <p>The VM that forwards a stream's first event records its origin. While the pool's past leaves
 * open which version began a stream, it also has some other VMs keep the record, since a caller
 * resumes a stream at another VM mostly because the first one has died. A VM without the record
 * asks these VMs. If none has it, the version is known if the pool has had a single one for as long
 * as a stream can last, or if the platform keeps the record of a VM that has died.
 *
 * <p>Invariant: a version is never guessed. Confined to the traffic thread.
 */
public final class StreamOriginDirectory {
    /** Time for the answers: two link delays of milliseconds, and some for a busy VM. */
    private static final long ANSWER_MILLIS = 200;

    /** Time for which a caller may resume a stream after its time limit, including clock drift. */
    private static final long GRACE_MILLIS = 2_000;

    /** Retry delay if no answer can be expected to change: a caller may reach another VM. */
    private static final long UNKNOWN_RETRY_MILLIS = 1_000;

    private final EventLoop traffic;
    private final StreamOrigins origins = new StreamOrigins();
    private final PoolVersions versions = new PoolVersions(GRACE_MILLIS);
    private final Map<StreamKey, List<OriginLookup>> lookups = new HashMap<>();
    private Peers peers = new NoPeers();
    private Archive archive = new NoArchive();

    public StreamOriginDirectory(EventLoop traffic) {
        this.traffic = traffic;
    }

    /** The other VMs. Implementations may be called on the traffic thread and must not block. */
    public interface Peers {
        /** Has some other VMs keep the origins of streams that this VM began. */
        void keep(List<StreamOrigin> begun);

        /** Asks some other VMs for an origin; calls {@link #onAsked} and {@link #onAnswer}. */
        void ask(StreamKey key, String pool);
    }

    /** The origins that the platform keeps, for VMs that have all restarted. Must not block. */
    public interface Archive {
        /**
         * Looks up an origin; called on the traffic thread.
         *
         * @param onRead is called once on the traffic thread
         */
        void find(StreamKey key, Consumer<ArchivedOrigin> onRead);

        /** Called on the traffic thread when a stream of this VM is complete. */
        void forget(StreamKey key);
    }

    /**
     * What the platform keeps of one stream. Immutable.
     *
     * @param origin the stream's origin; empty if it is not kept, or not known to be
     * @param known whether the platform was read
     */
    public record ArchivedOrigin(Optional<StreamOrigin> origin, boolean known) {}

    /** Nothing is kept. */
    private static final class NoArchive implements Archive {
        @Override
        public void find(StreamKey key, Consumer<ArchivedOrigin> onRead) {
            onRead.accept(new ArchivedOrigin(Optional.empty(), false));
        }

        @Override
        public void forget(StreamKey key) {
            // Nothing is kept.
        }
    }

    /** Is notified once of the outcome of a lookup, on the traffic thread. */
    public interface Listener {
        /**
         * Called if the origin is known.
         *
         * @param source what it is known from, for the log
         */
        void onFound(StreamOrigin origin, String source);

        /** Called if the origin is not known; the stream must not be resumed. */
        void onUnknown(String reason, long retryAfterMillis);
    }

    /** A fleet of one VM. */
    private final class NoPeers implements Peers {
        @Override
        public void keep(List<StreamOrigin> begun) {
            // No other VM could keep them.
        }

        @Override
        public void ask(StreamKey key, String pool) {
            onAsked(key, 0);
        }
    }

    public void setPeers(Peers fleet) {
        peers = fleet;
    }

    public void setArchive(Archive stored) {
        archive = stored;
    }

    /** Returns the number of streams whose origins this VM knows. */
    public int size() {
        return origins.size();
    }

    /** Returns what is known of the versions of pools. */
    public PoolVersions versions() {
        return versions;
    }

    /**
     * Applies the list of endpoints.
     *
     * @param listCurrent whether the list is known to be current
     * @param resumableRoutes the routes whose streams can be resumed
     */
    public void update(
            Collection<EndpointEntry> endpoints,
            boolean listCurrent,
            Collection<Route> resumableRoutes) {
        long nowNanos = System.nanoTime();
        versions.update(endpoints, listCurrent, resumableRoutes);
        origins.expire(nowNanos);
        shareAmbiguous(nowNanos);
    }

    /** Has other VMs keep the origins in pools that may have had several versions. */
    private void shareAmbiguous(long nowNanos) {
        for (String pool : origins.unsharedPools()) {
            if (!versions.hasSole(pool)) {
                share(pool, nowNanos);
            }
        }
    }

    private void share(String pool, long nowNanos) {
        List<StreamOrigin> begun = origins.takeUnshared(pool, nowNanos);
        if (!begun.isEmpty()) {
            peers.keep(begun);
        }
    }

    /** Has other VMs keep all origins, since this VM stops. */
    public void shareAll() {
        origins.unsharedPools().forEach(pool -> share(pool, System.nanoTime()));
    }

    /**
     * Records that this VM has forwarded the first event of a stream.
     *
     * @param limitNanos when the time limit of the stream's caller ends
     */
    public void recordBegun(StreamKey key, String pool, String softwareVersion, long limitNanos) {
        long nowNanos = System.nanoTime();
        long untilNanos = limitNanos + TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS);
        origins.recordUnshared(new StreamOrigin(key, pool, softwareVersion, untilNanos), nowNanos);
        if (!versions.hasSole(pool)) {
            share(pool, nowNanos);
        }
    }

    /** Records that this VM has forwarded all events of a stream that it began. */
    public void recordComplete(StreamKey key) {
        origins.find(key, System.nanoTime())
                .filter(origin -> !versions.hasSole(origin.pool()))
                .ifPresent(origin -> archive.forget(key));
    }

    /** Keeps the origin of a stream that another VM has begun. */
    public void keep(StreamOrigin begunByPeer) {
        origins.record(begunByPeer, System.nanoTime());
    }

    /**
     * Looks up where a stream began.
     *
     * @param key empty if the caller does not name the stream
     * @param pool the only pool to which the stream's route leads; empty if there are several
     */
    public void find(Optional<StreamKey> key, Optional<String> pool, Listener listener) {
        long nowNanos = System.nanoTime();
        Optional<StreamOrigin> own = key.flatMap(known -> origins.find(known, nowNanos));
        if (own.isPresent()) {
            listener.onFound(own.get(), "own record");
            return;
        }
        OriginLookup lookup = new OriginLookup(key, pool, listener);
        if (key.isEmpty() && versions.isWatched()) {
            conclude(lookup);
            return;
        }
        // Without a key no VM can be asked, but a VM that starts may still learn of the past.
        traffic.schedule(() -> end(lookup), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        key.ifPresent(known -> ask(known, lookup));
    }

    private void ask(StreamKey key, OriginLookup lookup) {
        lookups.computeIfAbsent(key, known -> new ArrayList<>()).add(lookup);
        if (lookups.get(key).size() == 1) {
            peers.ask(key, lookup.pool().orElse(""));
        }
    }

    /** Records how many VMs were asked. */
    public void onAsked(StreamKey key, int vms) {
        endComplete(key, lookup -> lookup.expect(vms));
    }

    /** Records the answer of another VM. */
    public void onAnswer(StreamKey key, String vm, OriginEvidence.Answer answer) {
        endComplete(key, lookup -> lookup.add(vm, answer));
    }

    private void endComplete(StreamKey key, Predicate<OriginLookup> update) {
        for (OriginLookup lookup : List.copyOf(lookups.getOrDefault(key, List.of()))) {
            if (update.test(lookup)) {
                end(lookup);
            }
        }
    }

    /** Returns the answer to another VM that asks for an origin. */
    public OriginEvidence.Answer answer(StreamKey key, String pool) {
        long nowNanos = System.nanoTime();
        Optional<String> named = Optional.of(pool).filter(name -> !name.isEmpty());
        return ownAnswer(origins.find(key, nowNanos), named);
    }

    private OriginEvidence.Answer ownAnswer(Optional<StreamOrigin> origin, Optional<String> pool) {
        Set<String> recent = pool.map(versions::recent).orElse(Set.of());
        return new OriginEvidence.Answer(origin, recent, versions.isWatched());
    }

    private void end(OriginLookup lookup) {
        if (lookup.end()) {
            lookup.key().ifPresent(key -> forget(key, lookup));
            conclude(lookup);
        }
    }

    private void forget(StreamKey key, OriginLookup lookup) {
        lookups.get(key).remove(lookup);
        if (lookups.get(key).isEmpty()) {
            lookups.remove(key);
        }
    }

    private void conclude(OriginLookup lookup) {
        long nowNanos = System.nanoTime();
        String answers = "asked=" + lookup.askedVms() + " answers=" + lookup.answers();
        // Another lookup of the same stream may have found its record meanwhile.
        Optional<StreamOrigin> own = lookup.key().flatMap(key -> origins.find(key, nowNanos));
        lookup.addOwn(ownAnswer(own, lookup.pool()));
        Optional<StreamOrigin> recorded = lookup.origin();
        recorded.ifPresent(origin -> origins.record(origin, nowNanos));
        Optional<StreamOrigin> known = recorded.or(() -> lookup.soleOrigin(nowNanos));
        if (known.isPresent()) {
            String source = recorded.isPresent() ? "record of a peer" : "sole version";
            lookup.listener().onFound(known.get(), source + ", " + answers);
        } else if (lookup.key().isPresent()) {
            StreamKey key = lookup.key().get();
            archive.find(key, archived -> concludeArchived(lookup, archived, answers));
        } else {
            lookup.listener().onUnknown(answers, retryMillis(lookup, false));
        }
    }

    private void concludeArchived(OriginLookup lookup, ArchivedOrigin archived, String answers) {
        if (archived.origin().isPresent()) {
            origins.record(archived.origin().get(), System.nanoTime());
            lookup.listener().onFound(archived.origin().get(), "platform, " + answers);
        } else {
            boolean hopeless = archived.known() && lookup.haveAllAnswered();
            lookup.listener()
                    .onUnknown(
                            answers + " platformRead=" + archived.known(),
                            retryMillis(lookup, hopeless));
        }
    }

    /**
     * Returns the retry delay of a resumption that is rejected: until the pool's only version is
     * known, if it has one.
     *
     * @param hopeless whether nobody has a record of the stream, so that it can't be resumed while
     *     its caller waits
     */
    private long retryMillis(OriginLookup lookup, boolean hopeless) {
        boolean willBeKnown =
                lookup.pool().filter(name -> versions.recent(name).size() == 1).isPresent();
        if (willBeKnown) {
            return 1 + versions.unwatchedMillis();
        }
        return hopeless ? versions.recent().windowMillis() : UNKNOWN_RETRY_MILLIS;
    }
}
