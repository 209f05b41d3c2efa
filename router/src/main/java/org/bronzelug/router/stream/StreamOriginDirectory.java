package org.bronzelug.router.stream;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
 * resumes a stream at another VM mostly because the first one has died. While the pool has a single
 * version, one other VM gets a copy a little later, since a VM that is suspended while a new
 * version joins can't share its records. A VM without the record asks the VMs that may keep it. If
 * none has it, the version is known if the pool has had a single one for as long as a stream can
 * last, which others have to confirm, or if the platform keeps the record of a VM that has died.
 *
 * <p>Invariant: a version is never guessed. Confined to the traffic thread.
 */
public final class StreamOriginDirectory {
    /** Time for which a caller may resume a stream after its time limit, including clock drift. */
    private static final long GRACE_MILLIS = 2_000;

    /** Least time between two messages with copies. */
    private static final long COPY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which a copy is sent again, as it may be lost, or its receiver replaced. */
    private static final long COPY_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final StreamOrigins origins = new StreamOrigins();
    private final PoolVersions versions = new PoolVersions(GRACE_MILLIS);
    private final OriginLookups lookups;
    private long lastCopyNanos = System.nanoTime();

    public StreamOriginDirectory(EventLoop traffic) {
        lookups = new OriginLookups(traffic, origins, versions);
    }

    /** The other VMs. Implementations may be called on the traffic thread and must not block. */
    public interface Peers {
        /** Has some other VMs keep the origins of streams that this VM began. */
        void keep(List<StreamOrigin> begun);

        /** Has one other VM keep a copy of the origins of streams that this VM began. */
        void copy(List<StreamOrigin> begun);

        /**
         * Asks other VMs for an origin and the versions of a pool, all VMs of a small fleet; calls
         * {@link #onAsked} and {@link #onAnswer}.
         */
        void ask(StreamKey key, String pool);

        /** Asks all VMs in the same way. */
        void askAll(StreamKey key, String pool);
    }

    /** The origins that the platform keeps, for VMs that have all restarted. Must not block. */
    public interface Archive {
        /**
         * Looks up an origin; called on the traffic thread.
         *
         * @param onRead is called once on the traffic thread
         */
        void find(StreamKey key, Consumer<ArchivedOrigin> onRead);

        /**
         * Reads the versions that the platform keeps of each pool, and has what has changed in the
         * list of endpoints applied; called on the traffic thread.
         *
         * @param onRead is called once on the traffic thread; the result is empty if the platform
         *     was not read completely by calls that began after this one
         */
        void readVersions(Consumer<Optional<RecentVersions>> onRead);

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

    public void setPeers(Peers fleet) {
        lookups.setPeers(fleet);
    }

    public void setArchive(Archive stored) {
        lookups.setArchive(stored);
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
        copyOpen(nowNanos);
    }

    /** Has other VMs keep the origins in pools that may have had several versions. */
    private void shareAmbiguous(long nowNanos) {
        for (String pool : origins.unsharedPools()) {
            if (!versions.hasSole(pool)) {
                share(pool, nowNanos);
            }
        }
    }

    /** Has another VM keep the origins of open streams in pools that have a single version. */
    private void copyOpen(long nowNanos) {
        if (nowNanos - lastCopyNanos < COPY_NANOS) {
            return;
        }
        lastCopyNanos = nowNanos;
        List<StreamOrigin> begun = origins.takeDueCopies(nowNanos, COPY_AGAIN_NANOS);
        if (!begun.isEmpty()) {
            lookups.peers().copy(begun);
        }
    }

    private void share(String pool, long nowNanos) {
        List<StreamOrigin> begun = origins.takeUnshared(pool, nowNanos);
        if (!begun.isEmpty()) {
            lookups.peers().keep(begun);
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
        origins.recordComplete(key);
        origins.find(key, System.nanoTime())
                .filter(origin -> !versions.hasSole(origin.pool()))
                .ifPresent(origin -> lookups.archive().forget(key));
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
        lookups.begin(new OriginLookup(key, pool, listener));
    }

    /**
     * Records that other VMs were asked.
     *
     * @param vms the VMs whose answers are waited for
     * @param fleetSize the number of VMs that are known, this one included, live or not
     */
    public void onAsked(StreamKey key, int vms, int fleetSize) {
        lookups.onAsked(key, vms, fleetSize);
    }

    /** Records the answer of another VM. */
    public void onAnswer(StreamKey key, String vm, OriginEvidence.Answer answer) {
        lookups.onAnswer(key, vm, answer);
    }

    /** Returns the answer to another VM that asks for an origin. */
    public OriginEvidence.Answer answer(StreamKey key, String pool) {
        long nowNanos = System.nanoTime();
        Optional<String> named = Optional.of(pool).filter(name -> !name.isEmpty());
        return versions.answer(origins.find(key, nowNanos), named);
    }
}
