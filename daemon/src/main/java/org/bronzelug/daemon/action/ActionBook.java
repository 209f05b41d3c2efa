package org.bronzelug.daemon.action;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.core.action.ActionDecision;
import org.bronzelug.core.action.ActionId;
import org.bronzelug.core.action.ActionLedger;
import org.bronzelug.core.action.ActionOutcome;
import org.bronzelug.core.action.ActionRecord;
import org.bronzelug.core.action.OwnershipPeriod;
import org.bronzelug.core.membership.MemberIdentity;

/** The action ledger, shared by the traffic threads under one lock. Thread-safe. */
@Singleton
public final class ActionBook {
    private final ActionLedger ledger;
    private final Map<ActionId, CompletableFuture<ActionOutcome>> running = new HashMap<>();

    @Inject
    public ActionBook(MemberIdentity self) {
        ledger = new ActionLedger(self, System.nanoTime());
    }

    /** The prefix for ids given out now. */
    public synchronized String prefix() {
        return ledger.prefix(System.nanoTime());
    }

    public synchronized ActionDecision begin(ActionId id, String team, String bodyDigest) {
        ActionDecision decision = ledger.begin(id, team, bodyDigest, System.nanoTime());
        if (decision instanceof ActionDecision.Run) {
            running.put(id, new CompletableFuture<>());
        }
        return decision;
    }

    /** The outcome of a call that runs now, later. */
    public synchronized CompletableFuture<ActionOutcome> awaitOutcome(ActionId id) {
        CompletableFuture<ActionOutcome> future = running.get(id);
        if (future != null) {
            return future;
        }
        Optional<ActionOutcome> known = ledger.outcome(id);
        return known.map(CompletableFuture::completedFuture)
                .orElseGet(
                        () ->
                                CompletableFuture.completedFuture(
                                        new ActionOutcome.InDoubt("its record is gone")));
    }

    /** Ends a run, and tells those who wait for it. */
    public void finish(ActionId id, ActionOutcome outcome) {
        CompletableFuture<ActionOutcome> future;
        synchronized (this) {
            ledger.finish(id, outcome);
            future = running.remove(id);
        }
        if (future != null) {
            future.complete(outcome);
        }
    }

    /** Begins no further call, and returns all records for the heir. */
    public synchronized List<ActionRecord> closeAndHandOver() {
        ledger.close();
        return ledger.recordsForSuccessor();
    }

    /** Takes over records of VMs that stop: see {@link ActionLedger#adopt}. */
    public synchronized void adopt(
            Collection<OwnershipPeriod> from, List<ActionRecord> records, boolean complete) {
        ledger.adopt(from, records, complete, System.nanoTime());
    }

    /** The incarnations that this VM answers for, its own first. */
    public synchronized List<OwnershipPeriod> ownershipPeriods() {
        return ledger.ownershipPeriods(System.nanoTime());
    }

    /** The incarnations that this VM answers for, besides its own. */
    public List<MemberIdentity> inheritedFrom() {
        return ownershipPeriods().stream().skip(1).map(OwnershipPeriod::identity).toList();
    }

    public synchronized int size() {
        return ledger.size();
    }
}
