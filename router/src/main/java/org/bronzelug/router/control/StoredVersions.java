package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;
import org.bronzelug.router.stream.RecentVersions;

/**
 * Keeps on the platform which software versions each pool has had for as long as a stream can last.
 * A VM reads them once at its start. Without this, VMs that have all restarted at the same time
 * would not know the version of any stream that began before.
 *
 * <p>Invariants: a version is removed only by a VM that has watched the list of endpoints for as
 * long as a stream can last without seeing it. An object that can't be read or is missing is
 * written only by such a VM, or if the fleet starts for the first time. Confined to the control
 * thread.
 */
final class StoredVersions {
    static final String KIND = "pool-versions";
    private static final String VERSIONS_FIELD = "versions";
    private static final String WINDOW_FIELD = "windowMillis";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Time from the start in which this VM learns which other VMs are live. */
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Is notified of what is stored. Must not block. */
    interface Listener {
        /** Called once with what the fleet had stored when this VM started. */
        void onRead(RecentVersions stored);

        /**
         * Called whenever other versions of a pool are stored than before.
         *
         * @param added those that were not stored before, as far as this VM knew
         */
        void onStored(String pool, Set<String> versions, Set<String> added);
    }

    private final PoolObjects objects;
    private final boolean fleetStarts;
    private final Listener listener;
    private final Map<String, Set<String>> written = new HashMap<>();
    private final Map<String, Set<String>> unrecorded = new HashMap<>();
    private final Map<String, Decoded> decoded = new HashMap<>();
    private final long startNanos = System.nanoTime();

    /**
     * @param fleetStarts whether the whole fleet starts for the first time
     */
    StoredVersions(
            EventLoop control,
            ObjectStore store,
            String vm,
            MemberTable members,
            boolean fleetStarts,
            Listener listener) {
        this.objects =
                new PoolObjects(
                        control,
                        store,
                        vm,
                        members,
                        KIND,
                        LogEvent.POOL_VERSIONS_WRITTEN,
                        this::onListed);
        this.fleetStarts = fleetStarts;
        this.listener = listener;
    }

    void start() {
        objects.start();
    }

    void stop() {
        objects.stop();
    }

    private void onListed(List<StoredItem> items) {
        listener.onRead(recentVersions(items, StoredVersions::decode));
    }

    /**
     * Returns the versions of all pools whose sets can be read. Logs nothing: a set that can't be
     * read was logged when this VM read its revision first.
     */
    static RecentVersions recentVersions(List<StoredItem> items) {
        return recentVersions(items, StoredVersions::decodeSilently);
    }

    private static RecentVersions recentVersions(
            List<StoredItem> items, Function<StoredItem, Optional<StoredSet>> decoder) {
        Map<String, Set<String>> versions = new HashMap<>();
        long windowMillis = Long.MAX_VALUE;
        for (StoredItem item : items) {
            Optional<StoredSet> known = decoder.apply(item);
            if (known.isPresent()) {
                versions.put(item.name(), known.get().versions);
                windowMillis = Math.min(windowMillis, known.get().windowMillis);
            }
        }
        boolean any = !versions.isEmpty();
        return new RecentVersions(versions, any ? windowMillis : 0, any);
    }

    /** Writes what has changed, if it is this VM's turn. */
    void round(RecentVersions recent) {
        if (System.nanoTime() - startNanos < SETTLE_NANOS) {
            return;
        }
        recent.byPool().forEach((pool, versions) -> update(pool, versions, recent));
    }

    private void update(String pool, Set<String> versions, RecentVersions recent) {
        Optional<StoredSet> stored = stored(pool);
        stored.ifPresent(set -> notifyIfChanged(pool, set.versions));
        Set<String> known = withUnrecorded(pool, versions);
        boolean first = fleetStarts && objects.find(pool).isEmpty();
        boolean complete = recent.complete() || first;
        if (!complete && stored.isEmpty()) {
            // A VM that starts would take a part of the versions for all of them.
            return;
        }
        StoredSet wanted =
                complete ? new StoredSet(known, recent.windowMillis()) : stored.get().with(known);
        if (stored.equals(Optional.of(wanted))) {
            objects.recordEqual(pool);
        } else {
            objects.writeIfDue(pool, wanted::encode, "versions=" + wanted.versions);
        }
    }

    private void notifyIfChanged(String pool, Set<String> versions) {
        Set<String> before = written.put(pool, versions);
        if (!versions.equals(before)) {
            Set<String> added = new HashSet<>(versions);
            if (before != null) {
                added.removeAll(before);
                unrecorded.computeIfAbsent(pool, any -> new HashSet<>()).addAll(added);
            }
            listener.onStored(pool, versions, added);
        }
    }

    /** Adds the versions that other VMs have stored and this one has not recorded yet. */
    private Set<String> withUnrecorded(String pool, Set<String> recorded) {
        Set<String> others = unrecorded.computeIfAbsent(pool, any -> new HashSet<>());
        others.removeAll(recorded);
        Set<String> all = new HashSet<>(recorded);
        all.addAll(others);
        return all;
    }

    private Optional<StoredSet> stored(String pool) {
        return objects.find(pool)
                .flatMap(
                        item -> {
                            Decoded known = decoded.get(pool);
                            if (known == null || known.item != item) {
                                known = new Decoded(item, decode(item));
                                decoded.put(pool, known);
                            }
                            return known.set;
                        });
    }

    /** What a stored object contains, so that it is not decoded in each round. Immutable. */
    private record Decoded(StoredItem item, Optional<StoredSet> set) {}

    /**
     * All versions that a pool has had within a window. Immutable.
     *
     * @param windowMillis the window before the set was written
     */
    private record StoredSet(Set<String> versions, long windowMillis) {
        StoredSet {
            versions = Set.copyOf(versions);
        }

        StoredSet with(Set<String> others) {
            Set<String> all = new HashSet<>(versions);
            all.addAll(others);
            return new StoredSet(all, windowMillis);
        }

        byte[] encode() {
            ObjectNode content = JSON.createObjectNode().put(WINDOW_FIELD, windowMillis);
            ArrayNode array = content.putArray(VERSIONS_FIELD);
            versions.stream().sorted().forEach(array::add);
            return content.toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    /** Returns what an object contains; logs it and is empty if it can't be read. */
    private static Optional<StoredSet> decode(StoredItem item) {
        try {
            return Optional.of(parse(item));
        } catch (IOException malformed) {
            EventLog.warn(
                    LogEvent.CONFIGURATION_UNREADABLE,
                    "kind=" + KIND + " " + item.name() + " cause=" + malformed.getMessage());
            return Optional.empty();
        }
    }

    private static Optional<StoredSet> decodeSilently(StoredItem item) {
        try {
            return Optional.of(parse(item));
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    private static StoredSet parse(StoredItem item) throws IOException {
        JsonNode content = JSON.readTree(item.content());
        Set<String> versions = new HashSet<>();
        for (JsonNode version : content.path(VERSIONS_FIELD)) {
            if (!version.isTextual()) {
                throw new IOException("a version is not a text");
            }
            versions.add(version.asText());
        }
        if (versions.isEmpty()) {
            throw new IOException("a pool has no version");
        }
        return new StoredSet(versions, content.path(WINDOW_FIELD).asLong());
    }
}
