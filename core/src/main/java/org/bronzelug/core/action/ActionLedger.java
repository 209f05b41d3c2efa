package org.bronzelug.core.action;

import java.util.ArrayList;
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
    private final Map<MemberIdentity, Long> inherited = new HashMap<>();
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
            return new ActionDecision.SendToHome();
        }
        ActionRecord record = records.get(id);
        if (record != null) {
            return decideKnown(record, team, bodyDigest);
        }
        return decideUnknown(id, team, bodyDigest, nowNanos);
    }

    private ActionDecision decideKnown(ActionRecord record, String team, String bodyDigest) {
        if (!record.matches(team, bodyDigest)) {
            return new ActionDecision.RefuseMismatch();
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
            return new ActionDecision.RefuseNotRun("the VM that may run this id is stopping");
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
            return new ActionDecision.RefuseNotRun("the VM that may run this id is stopping");
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
    public List<ActionRecord> recordsToHandOver() {
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

    /** The incarnations whose ids this ledger answers for, besides its own. */
    public Set<MemberIdentity> inheritedFrom() {
        return Set.copyOf(inherited.keySet());
    }

    /**
     * Takes over records of a VM that has closed its ledger.
     *
     * @param from the incarnation that stops
     * @param taken its records, in one or more parts
     * @param complete whether this is the last part; before it, unknown ids stay in doubt
     */
    public void adopt(
            MemberIdentity from, List<ActionRecord> taken, boolean complete, long nowNanos) {
        if (!inherited.containsKey(from)) {
            inherited.put(from, period(nowNanos));
            receiving.add(from);
        }
        for (ActionRecord record : taken) {
            records.putIfAbsent(record.id(), record);
            inherited.putIfAbsent(record.id().home(), period(nowNanos));
        }
        if (complete) {
            receiving.remove(from);
        }
    }

    public int size() {
        return records.size();
    }

    private boolean answersFor(MemberIdentity home) {
        return home.equals(self) || inherited.containsKey(home);
    }

    private boolean tooOld(ActionId id, long nowNanos) {
        if (id.home().equals(self)) {
            return id.period() + PERIODS_TO_BEGIN < period(nowNanos);
        }
        // The former home's period numbers mean nothing by this clock: count from the take-over.
        return inherited.get(id.home()) + PERIODS_TO_BEGIN < period(nowNanos);
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
        records.entrySet().removeIf(entry -> expired(entry.getValue(), present));
        inherited.entrySet().removeIf(entry -> entry.getValue() + PERIODS_TO_KEEP < present);
    }

    private boolean expired(ActionRecord record, long present) {
        MemberIdentity home = record.id().home();
        long since =
                home.equals(self) ? record.id().period() : inherited.getOrDefault(home, present);
        return record.outcome().isPresent() && since + PERIODS_TO_KEEP < present;
    }
}
