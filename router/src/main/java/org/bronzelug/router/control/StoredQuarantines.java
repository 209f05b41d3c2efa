package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.poison.PartKey;
import org.bronzelug.core.poison.QuarantinedParts;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;

/**
 * Keeps the parts of prompts under quarantine on the platform, in one object for each pool. A VM
 * reads them once at its start. Without this, VMs that have all restarted at the same time would
 * let the same parts crash endpoints again.
 *
 * <p>Invariants: an object is written only by a VM that has adopted what it contained; one that
 * can't be read is replaced. Each revision of an object is compared by what was decoded of it once,
 * so that one of another writer is not logged in each round. Confined to the control thread.
 */
final class StoredQuarantines {
    static final String KIND = "quarantined-parts";
    private static final String QUARANTINES = "quarantines";
    private static final String PARTS = "parts";
    private static final String SOFTWARE_VERSIONS = "softwareVersions";
    private static final String UNTIL_MILLIS = "untilMillis";
    private static final String TIMES = "times";
    private static final String CONFIRMED = "confirmed";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Longest remaining time that is believed, since the time of day may be wrong. */
    private static final long MAXIMUM_MILLIS = TimeUnit.DAYS.toMillis(1);

    private final PoolObjects objects;
    private final Reader reader;
    private final Map<String, DecodedParts> decoded = new HashMap<>();
    private boolean adopted;

    /** Adopts the stored quarantines. */
    interface Reader {
        /**
         * Called once.
         *
         * @param onAdopted to be called when all later reports contain them
         */
        void adopt(List<QuarantinedParts> stored, Runnable onAdopted);
    }

    /**
     * @param reader receives the stored quarantines, once
     */
    StoredQuarantines(
            EventLoop control, ObjectStore store, String vm, MemberTable members, Reader reader) {
        this.objects =
                new PoolObjects(
                        control,
                        store,
                        vm,
                        members,
                        KIND,
                        LogEvent.QUARANTINE_STORED,
                        this::onListed);
        this.reader = reader;
    }

    void start() {
        objects.start();
    }

    void stop() {
        objects.stop();
    }

    private void onListed(List<StoredItem> items) {
        List<QuarantinedParts> quarantines = new ArrayList<>();
        for (StoredItem item : items) {
            Optional<List<QuarantinedParts>> read = decode(item);
            record(item, read);
            read.ifPresent(quarantines::addAll);
        }
        reader.adopt(quarantines, () -> adopted = true);
    }

    /** What makes VMs write a quarantine again if it changes. Immutable. */
    private record StoredParts(Set<PartKey> parts, boolean confirmed) {}

    private static Set<StoredParts> storedParts(List<QuarantinedParts> quarantines) {
        Set<StoredParts> stored = new HashSet<>();
        quarantines.forEach(entry -> stored.add(new StoredParts(entry.parts(), entry.confirmed())));
        return stored;
    }

    /** Writes what has changed, if it is this VM's turn. */
    void round(List<QuarantinedParts> quarantines) {
        if (!adopted) {
            return;
        }
        Map<String, List<QuarantinedParts>> byPool = new HashMap<>();
        objects.pools().forEach(pool -> byPool.put(pool, new ArrayList<>()));
        for (QuarantinedParts entry : quarantines) {
            entry.parts().stream()
                    .findAny()
                    .ifPresent(
                            part ->
                                    byPool.computeIfAbsent(part.pool(), any -> new ArrayList<>())
                                            .add(entry));
        }
        byPool.forEach(this::update);
    }

    private void update(String pool, List<QuarantinedParts> quarantines) {
        Optional<Set<StoredParts>> known =
                objects.find(pool).map(this::decodedParts).orElse(Optional.of(Set.of()));
        if (known.equals(Optional.of(storedParts(quarantines)))) {
            objects.recordEqual(pool);
        } else {
            objects.writeIfDue(
                    pool,
                    () -> encode(quarantines, System.nanoTime()),
                    "quarantines=" + quarantines.size());
        }
    }

    /** The parts of an object's revision; empty if it can't be read. Immutable. */
    private record DecodedParts(long revision, Optional<Set<StoredParts>> parts) {}

    private Optional<Set<StoredParts>> decodedParts(StoredItem item) {
        DecodedParts known = decoded.get(item.name());
        boolean current = known != null && known.revision == item.revision();
        return current ? known.parts : record(item, decode(item));
    }

    private Optional<Set<StoredParts>> record(
            StoredItem item, Optional<List<QuarantinedParts>> read) {
        Optional<Set<StoredParts>> parts = read.map(StoredQuarantines::storedParts);
        decoded.put(item.name(), new DecodedParts(item.revision(), parts));
        return parts;
    }

    private static byte[] encode(List<QuarantinedParts> quarantines, long nowNanos) {
        ObjectNode content = JSON.createObjectNode();
        for (QuarantinedParts entry : quarantines) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(entry.untilNanos() - nowNanos);
            ObjectNode object =
                    content.withArray(QUARANTINES)
                            .addObject()
                            .put(UNTIL_MILLIS, System.currentTimeMillis() + remainingMillis)
                            .put(TIMES, entry.times())
                            .put(CONFIRMED, entry.confirmed());
            Set<String> ids = new TreeSet<>();
            entry.parts().forEach(part -> ids.add(part.id()));
            ids.forEach(object.putArray(PARTS)::add);
            entry.softwareVersions().forEach(object.putArray(SOFTWARE_VERSIONS)::add);
        }
        return content.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns what an object contains; empty if it can't be read. */
    private static Optional<List<QuarantinedParts>> decode(StoredItem item) {
        List<QuarantinedParts> quarantines = new ArrayList<>();
        long nowNanos = System.nanoTime();
        long nowMillis = System.currentTimeMillis();
        try {
            JsonNode content = JSON.readTree(item.content());
            JsonNode stored = content.path(QUARANTINES);
            if (!content.isObject() || !stored.isMissingNode() && !stored.isArray()) {
                throw new IOException("no list of quarantines");
            }
            for (JsonNode object : stored) {
                long millis = object.path(UNTIL_MILLIS).asLong() - nowMillis;
                long remainingMillis = Math.max(0, Math.min(MAXIMUM_MILLIS, millis));
                Set<PartKey> parts = new HashSet<>();
                object.path(PARTS).forEach(id -> parts.add(PartKey.of(item.name(), id.asText())));
                Set<String> versions = new HashSet<>();
                object.path(SOFTWARE_VERSIONS).forEach(version -> versions.add(version.asText()));
                quarantines.add(
                        new QuarantinedParts(
                                parts,
                                versions,
                                nowNanos,
                                nowNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis),
                                object.path(TIMES).asInt(1),
                                object.path(CONFIRMED).asBoolean()));
            }
        } catch (IOException malformed) {
            EventLog.warn(
                    LogEvent.CONFIGURATION_UNREADABLE,
                    "kind="
                            + KIND
                            + (" object=" + item.name())
                            + (" revision=" + item.revision())
                            + (" cause=" + malformed.getMessage()));
            return Optional.empty();
        }
        return Optional.of(quarantines);
    }
}
