package org.bronzelug.router.order;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.core.order.OrderLease;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.control.ControlState;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;

/**
 * Acquires and renews the order lease of {@link OrderService} by conditional writes.
 *
 * <p>Each write is a call to the platform and wakes every reader's watch of the lease, so the lease
 * is renewed often only while an order is to be sent. While all ordered runners load, it is renewed
 * often enough that no other VM acquires it.
 *
 * <p>Invariant: {@link #mayOrder} holds only within {@link OrderLease#VALID_MILLIS} of the request
 * for the last confirmed renewal. Confined to the control thread.
 */
final class LeaseRenewal {
    private static final String LEASE_NAME = "weights";
    private static final String HOLDER = "holder";
    private static final String INCARNATION = "incarnation";
    private static final String FENCE = "fence";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which a VM waits for each VM that precedes it in the order of acquisition. */
    private static final long WAIT_PER_RANK_MILLIS = 300;

    /** Time for which the other VMs wait for the previous holder, if it is reachable. */
    private static final long PREVIOUS_HOLDER_WAIT_MILLIS = 700;

    /** Delay after a failed write; doubles with each further one up to the maximum. */
    private static final long INITIAL_BACKOFF_MILLIS = 300;

    /** Bounds the time without orders after an outage of the platform. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 1_200;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ObjectStore store;
    private final VmSettings settings;
    private final String incarnation;
    private final ControlState state;
    private final MemberTable members;
    private final Runnable onRenewed;
    private Optional<OrderLease> lease = Optional.empty();

    /** Whether the platform has the lease as far as this VM knows. */
    private boolean stored;

    private long renewalSentNanos = Long.MIN_VALUE;
    private boolean requestInFlight;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long failedNanos = Long.MIN_VALUE;
    private long failedWaitMillis;

    /**
     * @param onRenewed runs after each confirmed write
     */
    LeaseRenewal(
            ObjectStore store,
            VmSettings settings,
            String incarnation,
            ControlState state,
            MemberTable members,
            Runnable onRenewed) {
        this.store = store;
        this.settings = settings;
        this.incarnation = incarnation;
        this.state = state;
        this.members = members;
        this.onRenewed = onRenewed;
    }

    /** Records the latest version of the lease from its mirror. */
    void onChange() {
        ObjectMirror mirror = state.mirror(ControlState.LEASE_KIND);
        mirror.items().stream()
                .filter(item -> item.name().equals(LEASE_NAME))
                .findFirst()
                .ifPresentOrElse(this::recordLease, () -> recordRemoval(mirror.revision()));
    }

    /**
     * Records that another writer has removed the lease. Nobody holds it then, and it is created
     * again; VMs other than the last holder wait for as long as for one that has just been renewed.
     * Without this, it is written for ever at a revision that it no longer has, and no VM gives
     * orders.
     */
    private void recordRemoval(long revision) {
        if (!stored || lease.orElseThrow().revision() > revision) {
            return;
        }
        stored = false;
        String holder = lease.orElseThrow().holder();
        EventLog.warn(
                LogEvent.CONFIGURATION_UNREADABLE,
                "the order lease was removed and is created again; revision=" + revision);
        lease = Optional.of(new OrderLease(holder, "", 0, revision, System.nanoTime()));
    }

    private void recordLease(StoredItem item) {
        if (lease.isPresent() && lease.get().revision() >= item.revision()) {
            return;
        }
        lease = Optional.of(readLease(item));
        stored = true;
    }

    /**
     * Reads the lease; one that another writer has overwritten has no holder. A fencing token is
     * derived from an earlier revision of the store, so it is no later than the lease's own. If
     * another one were renewed, runners would reject the lower tokens of all later holders.
     */
    private static OrderLease readLease(StoredItem item) {
        String cause = "no fencing token up to its revision";
        try {
            JsonNode content = JSON.readTree(item.content());
            JsonNode fence = content.path(FENCE);
            boolean valid = fence.isIntegralNumber() && fence.canConvertToLong();
            if (valid && fence.longValue() > 0 && fence.longValue() <= item.revision()) {
                return new OrderLease(
                        content.path(HOLDER).asText(""),
                        content.path(INCARNATION).asText(""),
                        fence.longValue(),
                        item.revision(),
                        System.nanoTime());
            }
        } catch (IOException malformed) {
            cause = malformed.getMessage();
        }
        EventLog.warn(
                LogEvent.CONFIGURATION_UNREADABLE,
                "kind="
                        + ControlState.LEASE_KIND
                        + (" object=" + item.name())
                        + (" revision=" + item.revision())
                        + (" cause=" + cause));
        return new OrderLease("", "", 0, item.revision(), System.nanoTime());
    }

    /** Treats the lease as expired until it is renewed. */
    void drop() {
        renewalSentNanos = Long.MIN_VALUE;
    }

    /** Returns whether this VM holds the lease as far as it knows, valid or expired. */
    boolean isHeld() {
        return renewalSentNanos != Long.MIN_VALUE && isOwn();
    }

    private boolean isOwn() {
        return lease.filter(held -> held.incarnation().equals(incarnation)).isPresent();
    }

    boolean mayOrder() {
        return isHeld() && OrderLease.mayOrder(renewalSentNanos, System.nanoTime());
    }

    /** Returns the fencing token of the lease; call while it is held. */
    long fence() {
        return lease.orElseThrow().fence();
    }

    /**
     * Acquires the lease if it is free and it is this VM's turn, or renews it if that is due.
     *
     * @param orderDue whether an order is to be sent
     * @param pendingSinceNanos since when any runner is behind its target version
     */
    void renewIfDue(BooleanSupplier orderDue, long pendingSinceNanos, long nowNanos) {
        boolean due = !isHeld() || OrderLease.isRenewalDue(renewalSentNanos, orderDue, nowNanos);
        boolean known = state.mirror(ControlState.LEASE_KIND).isKnown();
        if (due && known && !requestInFlight && !isBackingOff(nowNanos)) {
            acquire(pendingSinceNanos, nowNanos);
        }
    }

    private boolean isBackingOff(long nowNanos) {
        return failedNanos != Long.MIN_VALUE
                && nowNanos - failedNanos < failedWaitMillis * NANOS_PER_MILLI;
    }

    private void acquire(long pendingSinceNanos, long nowNanos) {
        long leaseMillis = settings.bounds().leaseMillis();
        if (!OrderLease.isFree(lease, settings.vm(), leaseMillis, nowNanos)) {
            return;
        }
        if ((nowNanos - pendingSinceNanos) / NANOS_PER_MILLI >= acquisitionWaitMillis()) {
            write(nowNanos);
        }
    }

    private void write(long sentNanos) {
        requestInFlight = true;
        boolean renewal = isOwn();
        byte[] content = content(renewal, sentNanos);
        CompletableFuture<StoredItem> written =
                stored
                        ? store.replace(
                                ControlState.LEASE_KIND,
                                new StoredItem(LEASE_NAME, lease.orElseThrow().revision(), content))
                        : store.create(ControlState.LEASE_KIND, LEASE_NAME, content);
        written.whenComplete(
                (item, failure) -> {
                    requestInFlight = false;
                    if (failure == null) {
                        onWritten(item, renewal, sentNanos);
                    } else {
                        onFailed(failure);
                    }
                });
    }

    private byte[] content(boolean renewal, long sentNanos) {
        long fence = renewal ? lease.get().fence() : lease.map(OrderLease::revision).orElse(0L) + 1;
        ObjectNode content = JSON.createObjectNode();
        content.put(HOLDER, settings.vm())
                .put(INCARNATION, incarnation)
                .put(FENCE, fence)
                .put("renewal", sentNanos);
        return content.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void onWritten(StoredItem item, boolean renewal, long sentNanos) {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        failedNanos = Long.MIN_VALUE;
        recordLease(item);
        renewalSentNanos = sentNanos;
        if (!renewal) {
            EventLog.info(LogEvent.ORDER_TAKEN, "lease=" + lease);
        }
        onRenewed.run();
    }

    private void onFailed(Throwable failure) {
        EventLog.info(LogEvent.ORDER_LEASE_NOT_TAKEN, "cause=\"" + failure.getMessage() + "\"");
        failedNanos = System.nanoTime();
        // Random, so that VMs whose writes fail at the same time do not all repeat them together.
        failedWaitMillis =
                backoffMillis * 3 / 4 + ThreadLocalRandom.current().nextLong(backoffMillis / 2);
        backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis * 2);
    }

    /** Returns how long this VM waits for the VMs that precede it in the order of acquisition. */
    private long acquisitionWaitMillis() {
        String previousHolder = lease.map(OrderLease::holder).orElse("");
        if (previousHolder.equals(settings.vm())) {
            return 0;
        }
        List<String> names = new ArrayList<>();
        names.add(settings.vm());
        boolean previousHolderReachable = false;
        for (Member member : members.live(System.nanoTime())) {
            names.add(member.state().getVm());
            previousHolderReachable |= member.state().getVm().equals(previousHolder);
        }
        int rank = Rendezvous.order(LEASE_NAME, names).indexOf(settings.vm());
        return (previousHolderReachable ? PREVIOUS_HOLDER_WAIT_MILLIS : 0)
                + rank * WAIT_PER_RANK_MILLIS;
    }
}
