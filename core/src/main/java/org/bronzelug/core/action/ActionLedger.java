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
 * At most once: this VM incarnation is the only one that ever runs the ids that name it.
 *
 * <p>The failure it guards against: a call's answer is lost, the caller retries through another VM,
 * and the voucher is refunded twice. The safeguard needs no clock, lease or store: an id names its
 * home's incarnation, the home remembers the id while it lives, and a new incarnation has new ids.
 * So neither a pause nor a partition nor a restart can make a second run; a home that is gone
 * leaves its calls in doubt, never run again. A graceful stop hands the records to one heir first.
 *
 * <p>Memory is bounded by periods: the prefix says when it was given out. An id unknown here and
 * older than the retention may have been forgotten, so it is in doubt and not run.
 *
 * <p>Invariant: {@code begin} returns {@code Run} for an id only if no earlier {@code Run} of it
 * ended in anything but {@code NotRun}. Not thread-safe: guarded by its owner.
 */
public final class ActionLedger {
    /** Length of a period. */
    public static final long PERIOD_NANOS = 60_000_000_000L;

    /** An id of a period this much older than the present one is no longer begun. */
    public static final long PERIODS_TO_BEGIN = 10;

    private static final long PERIODS_TO_KEEP = 2 * PERIODS_TO_BEGIN;

    private final MemberIdentity self;
    private final long startNanos;
    private final Map<ActionId, ActionRecord> records = new HashMap<>();
    private final Map<MemberIdentity, Inherited> inherited = new HashMap<>();
    private final Set<MemberIdentity> receiving = new HashSet<>();
    private boolean closed;
    private long lastPurgedPeriod;

    public ActionLedger(MemberIdentity self, long startNanos) {
        this.self = self;
        this.startNanos = startNanos;
    }

    /** The prefix for ids given out now. */
    public String prefix(long nowNanos) {
        return ActionId.prefix(self, period(nowNanos));
    }

    /** Decides on one arrival of a call. */
    public ActionDecision begin(ActionId id, String team, String bodyDigest, long nowNanos) {
        purge(nowNanos);
        if (!answersFor(id.home())) {
            return new ActionDecision.ForwardToOwner();
        }
        ActionRecord record = records.get(id);
        if (record != null) {
            return decideKnown(record, team, bodyDigest);
        }
        return decideUnknown(id, team, bodyDigest, nowNanos);
    }

    private ActionDecision decideKnown(ActionRecord record, String team, String bodyDigest) {
        if (!record.matches(team, bodyDigest)) {
            return new ActionDecision.RejectMismatch();
        }
        if (record.outcome().isEmpty()) {
            return new ActionDecision.Await();
        }
        return switch (record.outcome().get()) {
            case ActionOutcome.Ran ran -> new ActionDecision.Repeat(ran.answer());
            case ActionOutcome.InDoubt doubt -> new ActionDecision.StayInDoubt(doubt.reason());
            case ActionOutcome.NotRun notRun -> runAgain(record);
        };
    }

    private ActionDecision runAgain(ActionRecord record) {
        if (closed) {
            return new ActionDecision.RejectNotRun("the VM that may run this id is stopping");
        }
        records.put(
                record.id(),
                new ActionRecord(
                        record.id(), record.team(), record.bodyDigest(), Optional.empty()));
        return new ActionDecision.Run();
    }

    private ActionDecision decideUnknown(
            ActionId id, String team, String bodyDigest, long nowNanos) {
        if (receiving.contains(id.home())) {
            return new ActionDecision.StayInDoubt("the records of the id's VM are not all here");
        }
        if (tooOld(id, nowNanos)) {
            return new ActionDecision.StayInDoubt("the id is older than the records kept");
        }
        if (closed) {
            return new ActionDecision.RejectNotRun("the VM that may run this id is stopping");
        }
        records.put(id, new ActionRecord(id, team, bodyDigest, Optional.empty()));
        return new ActionDecision.Run();
    }

    /** Ends a run that {@link #begin} started; a second end of the same run changes nothing. */
    public void finish(ActionId id, ActionOutcome outcome) {
        ActionRecord record = records.get(id);
        if (record == null || record.outcome().isPresent()) {
            return;
        }
        records.put(
                id, new ActionRecord(id, record.team(), record.bodyDigest(), Optional.of(outcome)));
    }

    /** The outcome of a call, empty while it runs or where it is not known here. */
    public Optional<ActionOutcome> outcome(ActionId id) {
        return Optional.ofNullable(records.get(id)).flatMap(ActionRecord::outcome);
    }

    /** Begins no further call: the last step before the records are handed over. */
    public void close() {
        closed = true;
    }

    /** All records, for the heir; a call still running is handed over as in doubt. */
    public List<ActionRecord> recordsForSuccessor() {
        if (!closed) {
            throw new IllegalStateException("close the ledger before handing it over");
        }
        List<ActionRecord> handedOver = new ArrayList<>();
        for (ActionRecord record : records.values()) {
            Optional<ActionOutcome> outcome =
                    record.outcome()
                            .or(() -> Optional.of(new ActionOutcome.InDoubt("its VM stopped")));
            handedOver.add(
                    new ActionRecord(record.id(), record.team(), record.bodyDigest(), outcome));
        }
        return handedOver;
    }

    /** The incarnations whose ids this ledger answers for, its own first. */
    public List<OwnershipPeriod> ownershipPeriods(long nowNanos) {
        List<OwnershipPeriod> ownershipPeriods = new ArrayList<>();
        ownershipPeriods.add(new OwnershipPeriod(self, period(nowNanos)));
        for (MemberIdentity former : inherited.keySet()) {
            ownershipPeriods.add(new OwnershipPeriod(former, periodOf(former, nowNanos)));
        }
        return ownershipPeriods;
    }

    /**
     * Takes over records of a VM that has closed its ledger.
     *
     * @param from the incarnation that stops, and those that it had itself taken over, with their
     *     periods: counted on, they tell which ids may have been forgotten before the hand-over
     * @param taken its records, in one or more parts
     * @param complete whether this is the last part; before it, unknown ids of all of {@code from}
     *     stay in doubt, since a record still to come may say that they ran
     */
    public void adopt(
            Collection<OwnershipPeriod> from,
            List<ActionRecord> taken,
            boolean complete,
            long nowNanos) {
        for (OwnershipPeriod former : from) {
            Inherited entry = new Inherited(former.period(), period(nowNanos));
            if (inherited.putIfAbsent(former.identity(), entry) == null) {
                receiving.add(former.identity());
            }
        }
        for (ActionRecord record : taken) {
            records.putIfAbsent(record.id(), record);
        }
        if (complete) {
            from.forEach(former -> receiving.remove(former.identity()));
        }
    }

    public int size() {
        return records.size();
    }

    private boolean answersFor(MemberIdentity home) {
        return home.equals(self) || inherited.containsKey(home);
    }

    private boolean tooOld(ActionId id, long nowNanos) {
        return id.period() + PERIODS_TO_BEGIN < periodOf(id.home(), nowNanos);
    }

    /** The present period of an incarnation; one taken over is counted on by this VM's clock. */
    private long periodOf(MemberIdentity home, long nowNanos) {
        Inherited entry = inherited.get(home);
        return entry == null
                ? period(nowNanos)
                : entry.formerPeriod + period(nowNanos) - entry.sincePeriod;
    }

    private long period(long nowNanos) {
        return (nowNanos - startNanos) / PERIOD_NANOS;
    }

    private void purge(long nowNanos) {
        long present = period(nowNanos);
        if (present == lastPurgedPeriod) {
            return;
        }
        lastPurgedPeriod = present;
        records.entrySet().removeIf(entry -> expired(entry.getValue(), nowNanos));
        inherited.values().removeIf(entry -> entry.sincePeriod + PERIODS_TO_KEEP < present);
    }

    private boolean expired(ActionRecord record, long nowNanos) {
        ActionId id = record.id();
        return record.outcome().isPresent()
                && id.period() + PERIODS_TO_KEEP < periodOf(id.home(), nowNanos);
    }

    /**
     * An incarnation taken over.
     *
     * @param formerPeriod its period at the hand-over
     * @param sincePeriod this ledger's own period then
     */
    private record Inherited(long formerPeriod, long sincePeriod) {}
}
