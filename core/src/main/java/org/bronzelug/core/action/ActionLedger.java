package org.bronzelug.core.action;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * Ensures that a non-idempotent call runs at most once: only the owner that an id names, one VM
 * incarnation, ever runs it.
 *
 * <p>Without this, a caller whose response was lost would retry through another VM, and a voucher
 * would be refunded twice. The ledger prevents it without a clock, lease or storage: an id names
 * the incarnation of its owner; the owner, while it runs, keeps a record of the id and so
 * recognizes duplicates; and a new incarnation issues new ids. So neither a suspended VM nor a
 * partition nor a restart causes a second run. The calls of a dead owner stay in doubt and are
 * never run again. An owner that stops gracefully first transfers its records to one successor,
 * which then owns its ids.
 *
 * <p>Records are deleted with age, which bounds the memory; an id contains the period in which its
 * prefix was issued. A call without a record here may have had one that was deleted, if its id is
 * older than {@link #MAXIMUM_START_AGE_PERIODS}; such a call is in doubt and not run. Records are
 * kept for twice as long.
 *
 * <p>Invariant: {@code begin} returns {@code Run} for an id only if each earlier {@code Run} of the
 * id has ended in {@code NotRun}. Not thread-safe: the caller synchronizes access.
 */
public final class ActionLedger {
    /** Length of a period, in nanoseconds. */
    public static final long PERIOD_NANOS = 60_000_000_000L;

    /** Age of an id, in periods, beyond which a call without a record is no longer run. */
    public static final long MAXIMUM_START_AGE_PERIODS = 10;

    private static final long RETENTION_PERIODS = 2 * MAXIMUM_START_AGE_PERIODS;

    private final MemberIdentity self;
    private final long startNanos;
    private final Map<ActionId, ActionRecord> records = new HashMap<>();
    private final Map<MemberIdentity, TransferredOwner> transferredOwners = new HashMap<>();
    private final Set<MemberIdentity> incompleteTransfers = new HashSet<>();
    private boolean closed;
    private long lastPurgedPeriod;

    public ActionLedger(MemberIdentity self, long startNanos) {
        this.self = self;
        this.startNanos = startNanos;
    }

    /** Returns the prefix for ids that are issued now. */
    public String prefix(long nowNanos) {
        return ActionId.prefix(self, period(nowNanos));
    }

    /** Decides what to do with a call that has arrived. */
    public ActionDecision begin(ActionId id, String team, String bodyDigest, long nowNanos) {
        purge(nowNanos);
        if (!owns(id.owner())) {
            return new ActionDecision.ForwardToOwner();
        }
        ActionRecord record = records.get(id);
        if (record != null) {
            return decideRecorded(record, team, bodyDigest);
        }
        return decideUnrecorded(id, team, bodyDigest, nowNanos);
    }

    private ActionDecision decideRecorded(ActionRecord record, String team, String bodyDigest) {
        if (!record.matches(team, bodyDigest)) {
            return new ActionDecision.RejectMismatch();
        }
        if (record.outcome().isEmpty()) {
            return new ActionDecision.Await();
        }
        return switch (record.outcome().get()) {
            case ActionOutcome.Ran ran -> new ActionDecision.Replay(ran.response());
            case ActionOutcome.InDoubt doubt -> new ActionDecision.StayInDoubt(doubt.reason());
            case ActionOutcome.NotRun notRun -> rerun(record);
        };
    }

    private ActionDecision rerun(ActionRecord record) {
        if (closed) {
            return new ActionDecision.RejectNotRun("the VM that may run this id is stopping");
        }
        records.put(
                record.id(),
                new ActionRecord(
                        record.id(), record.team(), record.bodyDigest(), Optional.empty()));
        return new ActionDecision.Run();
    }

    private ActionDecision decideUnrecorded(
            ActionId id, String team, String bodyDigest, long nowNanos) {
        if (incompleteTransfers.contains(id.owner())) {
            return new ActionDecision.StayInDoubt("the records of the id's VM are not all here");
        }
        if (isTooOld(id, nowNanos)) {
            return new ActionDecision.StayInDoubt("the id is older than the records kept");
        }
        if (closed) {
            return new ActionDecision.RejectNotRun("the VM that may run this id is stopping");
        }
        records.put(id, new ActionRecord(id, team, bodyDigest, Optional.empty()));
        return new ActionDecision.Run();
    }

    /**
     * Records the outcome of a run that {@link #begin} started; ignored if the run already has an
     * outcome.
     */
    public void finish(ActionId id, ActionOutcome outcome) {
        ActionRecord record = records.get(id);
        if (record == null || record.outcome().isPresent()) {
            return;
        }
        records.put(
                id, new ActionRecord(id, record.team(), record.bodyDigest(), Optional.of(outcome)));
    }

    /** Returns the outcome of a call; empty while the call runs, or if it has no record here. */
    public Optional<ActionOutcome> outcome(ActionId id) {
        return Optional.ofNullable(records.get(id)).flatMap(ActionRecord::outcome);
    }

    /** Stops starting calls; must precede the transfer of the records. */
    public void close() {
        closed = true;
    }

    /**
     * Returns all records, for transfer to the successor. A call that is still running is
     * transferred as in doubt.
     */
    public List<ActionRecord> recordsForSuccessor() {
        if (!closed) {
            throw new IllegalStateException(
                    "the ledger must be closed before its records are transferred");
        }
        List<ActionRecord> transferred = new ArrayList<>();
        for (ActionRecord record : records.values()) {
            Optional<ActionOutcome> outcome =
                    record.outcome()
                            .or(() -> Optional.of(new ActionOutcome.InDoubt("its VM stopped")));
            transferred.add(
                    new ActionRecord(record.id(), record.team(), record.bodyDigest(), outcome));
        }
        return transferred;
    }

    /** Returns the incarnations whose ids this ledger owns, its own incarnation first. */
    public List<OwnershipPeriod> ownershipPeriods(long nowNanos) {
        List<OwnershipPeriod> ownershipPeriods = new ArrayList<>();
        ownershipPeriods.add(new OwnershipPeriod(self, period(nowNanos)));
        for (MemberIdentity previousOwner : transferredOwners.keySet()) {
            ownershipPeriods.add(
                    new OwnershipPeriod(previousOwner, periodOf(previousOwner, nowNanos)));
        }
        return ownershipPeriods;
    }

    /**
     * Takes ownership of the ids of a VM that has closed its ledger.
     *
     * @param previousOwners the incarnation that stops and those whose ids it owned, with their
     *     periods at the transfer. This ledger counts on from these periods, so that it can
     *     determine which ids may have had a record that was deleted before the transfer.
     * @param transferred all records of that VM, or one part of them
     * @param complete whether this is the last part. Until then, calls without a record whose ids
     *     belong to any of {@code previousOwners} are in doubt, since a record that is still to
     *     come may show that they ran.
     */
    public void takeOwnership(
            Collection<OwnershipPeriod> previousOwners,
            List<ActionRecord> transferred,
            boolean complete,
            long nowNanos) {
        for (OwnershipPeriod previousOwner : previousOwners) {
            TransferredOwner entry = new TransferredOwner(previousOwner.period(), period(nowNanos));
            if (transferredOwners.putIfAbsent(previousOwner.identity(), entry) == null) {
                incompleteTransfers.add(previousOwner.identity());
            }
        }
        for (ActionRecord record : transferred) {
            records.putIfAbsent(record.id(), record);
        }
        if (complete) {
            previousOwners.forEach(
                    previousOwner -> incompleteTransfers.remove(previousOwner.identity()));
        }
    }

    public int size() {
        return records.size();
    }

    private boolean owns(MemberIdentity owner) {
        return owner.equals(self) || transferredOwners.containsKey(owner);
    }

    private boolean isTooOld(ActionId id, long nowNanos) {
        return id.period() + MAXIMUM_START_AGE_PERIODS < periodOf(id.owner(), nowNanos);
    }

    /**
     * Returns the current period of an incarnation. For a previous owner, counting continues from
     * the transfer by the clock of this VM.
     */
    private long periodOf(MemberIdentity owner, long nowNanos) {
        TransferredOwner entry = transferredOwners.get(owner);
        return entry == null
                ? period(nowNanos)
                : entry.periodAtTransfer + period(nowNanos) - entry.ownPeriodAtTransfer;
    }

    private long period(long nowNanos) {
        return (nowNanos - startNanos) / PERIOD_NANOS;
    }

    private void purge(long nowNanos) {
        long currentPeriod = period(nowNanos);
        if (currentPeriod == lastPurgedPeriod) {
            return;
        }
        lastPurgedPeriod = currentPeriod;
        records.entrySet().removeIf(entry -> isExpired(entry.getValue(), nowNanos));
        transferredOwners
                .values()
                .removeIf(entry -> entry.ownPeriodAtTransfer + RETENTION_PERIODS < currentPeriod);
    }

    private boolean isExpired(ActionRecord record, long nowNanos) {
        ActionId id = record.id();
        return record.outcome().isPresent()
                && id.period() + RETENTION_PERIODS < periodOf(id.owner(), nowNanos);
    }

    /**
     * A previous owner whose ids this ledger owns now.
     *
     * @param periodAtTransfer period of the previous owner at the transfer
     * @param ownPeriodAtTransfer period of this ledger's own incarnation at that time
     */
    private record TransferredOwner(long periodAtTransfer, long ownPeriodAtTransfer) {}
}
