package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;

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
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Time from the start in which this VM learns which other VMs are live. */
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PoolObjects objects;
    private final boolean fleetStarts;
    private final Consumer<Map<String, Set<String>>> onRead;
    private final Map<String, Decoded> decoded = new HashMap<>();
    private final long startNanos = System.nanoTime();

    /**
     * @param fleetStarts whether the whole fleet starts for the first time
     * @param onRead receives the stored versions by pool, once
     */
    StoredVersions(
            EventLoop control,
            ObjectStore store,
            String vm,
            MemberTable members,
            boolean fleetStarts,
            Consumer<Map<String, Set<String>>> onRead) {
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
        this.onRead = onRead;
    }

    void start() {
        objects.start();
    }

    void stop() {
        objects.stop();
    }

    private void onListed(List<StoredItem> items) {
        Map<String, Set<String>> versions = new HashMap<>();
        items.forEach(item -> versions(item).ifPresent(known -> versions.put(item.name(), known)));
        onRead.accept(versions);
    }

    /**
     * Writes what has changed, if it is this VM's turn.
     *
     * @param recent the versions that each pool has had for as long as a stream can last
     * @param watched whether this VM has watched the list for as long
     */
    void round(Map<String, Set<String>> recent, boolean watched) {
        if (System.nanoTime() - startNanos < SETTLE_NANOS) {
            return;
        }
        recent.forEach(
                (pool, versions) -> {
                    Set<String> wanted = wanted(pool, versions, watched);
                    if (stored(pool).equals(Optional.of(wanted))) {
                        objects.recordEqual(pool);
                    } else if (isComplete(pool, watched)) {
                        objects.writeIfDue(pool, () -> content(wanted), "versions=" + wanted);
                    }
                });
    }

    /** Returns whether this VM knows all recent versions of a pool, as a VM that starts assumes. */
    private boolean isComplete(String pool, boolean watched) {
        boolean first = fleetStarts && objects.find(pool).isEmpty();
        return watched || first || stored(pool).isPresent();
    }

    private Optional<Set<String>> stored(String pool) {
        return objects.find(pool)
                .flatMap(
                        item -> {
                            Decoded known = decoded.get(pool);
                            if (known == null || known.item != item) {
                                known = new Decoded(item, versions(item));
                                decoded.put(pool, known);
                            }
                            return known.versions;
                        });
    }

    /** What a stored object contains, so that it is not decoded in each round. Immutable. */
    private record Decoded(StoredItem item, Optional<Set<String>> versions) {}

    private Set<String> wanted(String pool, Set<String> recent, boolean watched) {
        Set<String> wanted = new TreeSet<>(recent);
        if (!watched) {
            stored(pool).ifPresent(wanted::addAll);
        }
        return wanted;
    }

    private static byte[] content(Set<String> versions) {
        ObjectNode content = JSON.createObjectNode();
        versions.forEach(content.putArray(VERSIONS_FIELD)::add);
        return content.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the versions of an object; empty if it can't be read. */
    private static Optional<Set<String>> versions(StoredItem item) {
        Set<String> versions = new TreeSet<>();
        try {
            for (JsonNode version : JSON.readTree(item.content()).path(VERSIONS_FIELD)) {
                if (!version.isTextual()) {
                    throw new IOException("a version is not a text");
                }
                versions.add(version.asText());
            }
            if (versions.isEmpty()) {
                throw new IOException("a pool has no version");
            }
            return Optional.of(versions);
        } catch (IOException malformed) {
            EventLog.warn(
                    LogEvent.CONFIGURATION_UNREADABLE,
                    "kind=" + KIND + " " + item.name() + " cause=" + malformed.getMessage());
            return Optional.empty();
        }
    }
}
