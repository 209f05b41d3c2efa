package org.bronzelug.router.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;

/**
 * Removes the origins of streams that VMs have stored which no longer exist. One VM, the first of
 * the rendezvous order, reads all objects at times and removes those that have not changed for as
 * long as their streams were open.
 *
 * <p>Invariant: an object is removed only with the revision at which its streams had ended.
 * Confined to the control thread.
 */
final class StoredOriginsCleanup {
    private static final long INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final ObjectStore store;
    private final String vm;
    private final MemberTable members;
    private Map<String, Seen> seen = Map.of();
    private long nextNanos = System.nanoTime() + INTERVAL_NANOS;

    StoredOriginsCleanup(ObjectStore store, String vm, MemberTable members) {
        this.store = store;
        this.vm = vm;
        this.members = members;
    }

    /** A revision of an object, and when all its streams have ended. Immutable. */
    private record Seen(long revision, long endNanos) {}

    /** Cleans up if it is time to, and this VM's turn. */
    void round(long nowNanos) {
        if (nowNanos - nextNanos < 0) {
            return;
        }
        nextNanos = nowNanos + INTERVAL_NANOS;
        List<String> names = new ArrayList<>();
        names.add(vm);
        members.live(nowNanos).forEach(member -> names.add(member.state().getVm()));
        if (Rendezvous.order(StoredOrigins.KIND, names).get(0).equals(vm)) {
            store.list(StoredOrigins.KIND)
                    .whenComplete(
                            (list, failure) -> {
                                if (failure == null) {
                                    clean(list.items(), nowNanos);
                                }
                            });
        }
    }

    private void clean(List<StoredItem> items, long nowNanos) {
        Map<String, Seen> now = new HashMap<>();
        for (StoredItem item : items) {
            Seen before = seen.get(item.name());
            boolean unchanged = before != null && before.revision == item.revision();
            if (!unchanged) {
                now.put(item.name(), new Seen(item.revision(), endNanos(item, nowNanos)));
            } else if (nowNanos - before.endNanos < 0) {
                now.put(item.name(), before);
            } else {
                remove(item);
            }
        }
        seen = now;
    }

    private void remove(StoredItem item) {
        store.remove(StoredOrigins.KIND, item)
                .whenComplete(
                        (nothing, failure) ->
                                EventLog.info(
                                        LogEvent.STREAM_ORIGINS_REMOVED,
                                        ("object=" + item.name())
                                                + (" outcome=\""
                                                        + (failure == null
                                                                ? "removed"
                                                                : failure.getMessage())
                                                        + "\"")));
    }

    /** Returns when the streams have ended; at once if the object can't be read. */
    private static long endNanos(StoredItem item, long nowNanos) {
        try {
            return StreamOriginCodec.decode(item.content(), nowNanos).stream()
                    .mapToLong(StreamOrigin::untilNanos)
                    .max()
                    .orElse(nowNanos);
        } catch (IOException malformed) {
            return nowNanos;
        }
    }
}
