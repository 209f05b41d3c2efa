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

/** The VM's {@link ActionLedger}, shared by the traffic threads under one lock. Thread-safe. */
@Singleton
public final class SharedActionLedger {
    private final ActionLedger ledger;
    private final Map<ActionId, CompletableFuture<ActionOutcome>> running = new HashMap<>();

    @Inject
    public SharedActionLedger(MemberIdentity self) {
        ledger = new ActionLedger(self, System.nanoTime());
    }

    /** Returns the prefix for action ids issued now. */
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

    /** Returns a future that completes with the outcome of a call in progress. */
    public synchronized CompletableFuture<ActionOutcome> futureOutcome(ActionId id) {
        CompletableFuture<ActionOutcome> future = running.get(id);
        if (future != null) {
            return future;
        }
        Optional<ActionOutcome> recorded = ledger.outcome(id);
        return recorded.map(CompletableFuture::completedFuture)
                .orElseGet(
                        () ->
                                CompletableFuture.completedFuture(
                                        new ActionOutcome.InDoubt("its record is gone")));
    }

    /** Records the outcome of a call and completes the future of those that wait for it. */
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

    /** Stops accepting new calls and returns all records for the successor. */
    public synchronized List<ActionRecord> closeForTransfer() {
        ledger.close();
        return ledger.recordsForSuccessor();
    }

    /**
     * Takes ownership of the action ids of VMs that stop: see {@link ActionLedger#takeOwnership}.
     */
    public synchronized void takeOwnership(
            Collection<OwnershipPeriod> previousOwners,
            List<ActionRecord> records,
            boolean complete) {
        ledger.takeOwnership(previousOwners, records, complete, System.nanoTime());
    }

    /** Returns the incarnations whose action ids this VM owns, its own incarnation first. */
    public synchronized List<OwnershipPeriod> ownershipPeriods() {
        return ledger.ownershipPeriods(System.nanoTime());
    }

    /** Returns the incarnations whose action ids were transferred to this VM. */
    public List<MemberIdentity> previousOwners() {
        return ownershipPeriods().stream().skip(1).map(OwnershipPeriod::identity).toList();
    }

    public synchronized int size() {
        return ledger.size();
    }
}
