package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.core.membership.Rendezvous;
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
 * <p>Writing needs no lease: the first VMs of a pool's rendezvous order write one after the other,
 * conditionally on the object's revision, so usually one write is made for each change.
 *
 * <p>Invariant: a version is removed only by a VM that has watched the list of endpoints for as
 * long as a stream can last without seeing it. Confined to the control thread.
 */
final class StoredVersions {
    static final String KIND = "pool-versions";
    private static final String VERSIONS_FIELD = "versions";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The VMs that may write, so that one that is cut off does not prevent a write. */
    private static final int WRITERS = 3;

    /** Time that each VM of a higher rank has to write, before this one does. */
    private static final long WAIT_PER_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time from the start in which this VM learns which other VMs are live. */
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long RETRY_MILLIS = 500;

    private final EventLoop control;
    private final ObjectStore store;
    private final String vm;
    private final MemberTable members;
    private final Consumer<Map<String, Set<String>>> onRead;
    private final Map<String, StoredItem> stored = new HashMap<>();
    private final Map<String, Long> differsSinceNanos = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private boolean read;
    private boolean callInFlight;
    private boolean stopped;
    private long nextCallNanos = startNanos;

    /**
     * @param onRead receives the stored versions by pool, once
     */
    StoredVersions(
            EventLoop control,
            ObjectStore store,
            String vm,
            MemberTable members,
            Consumer<Map<String, Set<String>>> onRead) {
        this.control = control;
        this.store = store;
        this.vm = vm;
        this.members = members;
        this.onRead = onRead;
    }

    void start() {
        store.list(KIND)
                .whenComplete(
                        (list, failure) -> {
                            if (failure == null) {
                                onListed(list.items());
                            } else if (!stopped) {
                                control.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                            }
                        });
    }

    void stop() {
        stopped = true;
    }

    private void onListed(List<StoredItem> items) {
        Map<String, Set<String>> versions = new HashMap<>();
        for (StoredItem item : items) {
            stored.put(item.name(), item);
            versions.put(item.name(), versions(item));
        }
        read = true;
        onRead.accept(versions);
    }

    /**
     * Writes what has changed, if it is this VM's turn.
     *
     * @param recent the versions that each pool has had for as long as a stream can last
     * @param watched whether this VM has watched the list for as long
     */
    void round(Map<String, Set<String>> recent, boolean watched) {
        long nowNanos = System.nanoTime();
        for (Map.Entry<String, Set<String>> pool : recent.entrySet()) {
            Set<String> wanted = wanted(pool.getKey(), pool.getValue(), watched);
            boolean differs =
                    !stored.containsKey(pool.getKey())
                            || !versions(stored.get(pool.getKey())).equals(wanted);
            if (!differs) {
                differsSinceNanos.remove(pool.getKey());
            } else if (isDue(pool.getKey(), nowNanos)) {
                write(pool.getKey(), wanted);
            }
        }
    }

    private Set<String> wanted(String pool, Set<String> recent, boolean watched) {
        Set<String> wanted = new TreeSet<>(recent);
        if (!watched && stored.containsKey(pool)) {
            wanted.addAll(versions(stored.get(pool)));
        }
        return wanted;
    }

    private boolean isDue(String pool, long nowNanos) {
        long sinceNanos = differsSinceNanos.computeIfAbsent(pool, name -> nowNanos);
        boolean settled = nowNanos - startNanos >= SETTLE_NANOS;
        boolean pausing = callInFlight || nowNanos - nextCallNanos < 0;
        if (!read || stopped || !settled || pausing) {
            return false;
        }
        List<String> names = new ArrayList<>();
        names.add(vm);
        members.live(nowNanos).forEach(member -> names.add(member.state().getVm()));
        int rank = Rendezvous.order(pool, names).indexOf(vm);
        return rank < WRITERS && nowNanos - sinceNanos >= rank * WAIT_PER_RANK_NANOS;
    }

    private void write(String pool, Set<String> versions) {
        callInFlight = true;
        byte[] content = content(versions);
        StoredItem known = stored.get(pool);
        CompletableFuture<StoredItem> written =
                known == null
                        ? store.create(KIND, pool, content)
                        : store.replace(KIND, new StoredItem(pool, known.revision(), content));
        written.whenComplete(
                (item, failure) -> {
                    EventLog.info(
                            LogEvent.POOL_VERSIONS_WRITTEN,
                            ("pool=" + pool)
                                    + (" versions=" + versions)
                                    + (" outcome=\"")
                                    + (failure == null ? "written" : failure.getMessage())
                                    + "\"");
                    if (failure == null) {
                        stored.put(pool, item);
                        endCall();
                    } else {
                        readAgain(pool);
                    }
                });
    }

    /** Reads an object that another VM may have written. */
    private void readAgain(String pool) {
        store.read(KIND, pool)
                .whenComplete(
                        (item, failure) -> {
                            if (failure == null) {
                                stored.put(pool, item);
                            }
                            endCall();
                        });
    }

    private void endCall() {
        callInFlight = false;
        nextCallNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS);
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
