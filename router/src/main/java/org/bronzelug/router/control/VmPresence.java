package org.bronzelug.router.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.bronzelug.core.membership.PresenceEvidence;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;

/**
 * Finds out at the platform whether VMs that are not heard are gone or only cut off, while some are
 * not heard. Without this, either each side of a partition takes the share of the other one, or the
 * share of a VM that is gone stays unused.
 *
 * <p>A VM that reaches the majority reads the other VMs' entries ({@link PresenceEvidence}). Any
 * other VM renews its own entry; while it can't, the majority may take its share, and it uses a
 * small part of that only.
 *
 * <p>Invariant: one call is in progress at a time. Only a VM that reaches the majority of the fleet
 * takes others for gone. Confined to the control thread.
 */
final class VmPresence {
    /** Several renewals fit into the time after which a VM is taken for gone. */
    private static final long INTERVAL_NANOS = 2_000_000_000L;

    /** Interval while all VMs that are not heard are taken for gone: one may have come back. */
    private static final long GONE_INTERVAL_NANOS = 10_000_000_000L;

    private final String vm;
    private final ObjectStore store;
    private final MemberTable members;
    private final Supplier<byte[]> content;
    private final PresenceEvidence evidence = new PresenceEvidence();
    private Optional<StoredItem> ownEntry = Optional.empty();
    private Set<String> gone = Set.of();
    private long presentNanos;
    private long callNanos;
    private boolean callInFlight;
    private boolean shareLost;

    /**
     * @param content returns another content of this VM's entry each time
     */
    VmPresence(
            String vm,
            ObjectStore store,
            MemberTable members,
            Supplier<byte[]> content,
            long nowNanos) {
        this.vm = vm;
        this.store = store;
        this.members = members;
        this.content = content;
        this.presentNanos = nowNanos;
        this.callNanos = nowNanos;
    }

    /** Runs one round: renews this VM's entry or reads those of the others, if that is due. */
    void round(long nowNanos) {
        boolean majority = members.isMajority(nowNanos);
        Set<String> unheard = members.unheard(nowNanos);
        if (majority) {
            presentNanos = nowNanos;
            evidence.retain(unheard);
        } else {
            // The others may be the majority now, which does not renew its entries.
            evidence.retain(Set.of());
            recordGone(Set.of(), unheard);
        }
        updateShare(nowNanos);
        if (callInFlight) {
            return;
        }
        if (unheard.isEmpty()) {
            // A VM that is not heard for a moment only needs no call.
            callNanos = nowNanos;
            return;
        }
        boolean allGone = members.missing(nowNanos).isEmpty();
        if (nowNanos - callNanos < (allGone ? GONE_INTERVAL_NANOS : INTERVAL_NANOS)) {
            return;
        }
        callInFlight = true;
        callNanos = nowNanos;
        if (majority) {
            read(nowNanos);
        } else {
            renew(nowNanos);
        }
    }

    private void updateShare(long nowNanos) {
        boolean lost = nowNanos - presentNanos >= PresenceEvidence.PRESENT_NANOS;
        if (lost != shareLost) {
            shareLost = lost;
            members.setShareLost(lost);
            EventLog.warn(LogEvent.VM_SHARE_CHANGED, "lost=" + lost);
        }
    }

    private void read(long startNanos) {
        store.list(VmRegistration.KIND)
                .whenComplete(
                        (list, failure) -> {
                            callInFlight = false;
                            if (failure == null) {
                                recordListed(list, startNanos);
                            }
                        });
    }

    private void recordListed(ItemList list, long startNanos) {
        long nowNanos = System.nanoTime();
        Map<String, Long> revisions = new HashMap<>();
        list.items().forEach(item -> revisions.put(item.name(), item.revision()));
        long endNanos = Math.max(startNanos, nowNanos);
        Set<String> unheard = members.unheard(startNanos);
        recordGone(evidence.record(unheard, revisions, startNanos, endNanos), unheard);
    }

    private void recordGone(Set<String> nowGone, Set<String> unheard) {
        if (!nowGone.equals(gone)) {
            gone = nowGone;
            EventLog.info(LogEvent.VMS_GONE, "vms=" + gone + " unheard=" + unheard);
        }
        members.setGone(nowGone);
    }

    private void renew(long startNanos) {
        entry().thenCompose(
                        item ->
                                store.replace(
                                        VmRegistration.KIND,
                                        new StoredItem(vm, item.revision(), content.get())))
                .whenComplete(
                        (item, failure) -> {
                            callInFlight = false;
                            ownEntry = Optional.ofNullable(item);
                            if (failure == null) {
                                presentNanos = startNanos;
                            }
                        });
    }

    /** Returns this VM's entry, which is created if there is none. */
    private CompletionStage<StoredItem> entry() {
        if (ownEntry.isPresent()) {
            return CompletableFuture.completedFuture(ownEntry.get());
        }
        return store.read(VmRegistration.KIND, vm)
                .exceptionallyCompose(
                        failure ->
                                StoreException.problem(failure) == StoreException.Problem.ABSENT
                                        ? store.create(VmRegistration.KIND, vm, content.get())
                                        : CompletableFuture.failedFuture(failure));
    }
}
