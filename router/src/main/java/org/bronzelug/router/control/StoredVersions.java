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
 * <p>Invariant: a version is removed only by a VM that has watched the list of endpoints for as
 * long as a stream can last without seeing it. Confined to the control thread.
 */
final class StoredVersions {
    static final String KIND = "pool-versions";
    private static final String VERSIONS_FIELD = "versions";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Time from the start in which this VM learns which other VMs are live. */
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PoolObjects objects;
    private final Consumer<Map<String, Set<String>>> onRead;
    private final Map<String, Decoded> decoded = new HashMap<>();
    private final long startNanos = System.nanoTime();

    /**
     * @param onRead receives the stored versions by pool, once
     */
    StoredVersions(
            EventLoop control,
            ObjectStore store,
            String vm,
            MemberTable members,
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
        items.forEach(item -> versions.put(item.name(), versions(item)));
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
                    } else {
                        objects.writeIfDue(pool, () -> content(wanted), "versions=" + wanted);
                    }
                });
    }

    private Optional<Set<String>> stored(String pool) {
        return objects.find(pool)
                .map(
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
    private record Decoded(StoredItem item, Set<String> versions) {}

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

    private static Set<String> versions(StoredItem item) {
        Set<String> versions = new TreeSet<>();
        try {
            JsonNode content = JSON.readTree(item.content());
            content.path(VERSIONS_FIELD).forEach(version -> versions.add(version.asText()));
        } catch (IOException malformed) {
            EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, "kind=" + KIND + " " + item.name());
        }
        return versions;
    }
}
