package org.bronzelug.core.action;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bronzelug.core.membership.MemberIdentity;
import org.junit.jupiter.api.Test;

/**
 * Checks that a non-idempotent call runs at most once, and that a call reported as not run did not
 * run.
 *
 * <p>Guards against a voucher that is refunded twice, or a refund that is reported as not run but
 * took place. It comes about when the response to a call is lost, the VM crashes or transfers its
 * records, and the caller retries through other VMs: a VM that did not see the first run cannot
 * tell that there was one.
 */
class ActionLedgerTest {
    private final MemberIdentity owner = new MemberIdentity("vm-1", "a");
    private final ActionLedger ledger = new ActionLedger(owner, 0);

    @Property(seed = "7401")
    void runsAtMostOnceInAnySchedule(@ForAll long seed) {
        ActionModel model = new ActionModel(seed);
        assertThat(model.run(400)).isEmpty();
    }

    /**
     * The model must also replay responses: a ledger that rejects every call would pass the other
     * checks.
     */
    @Property(seed = "7402")
    void replaysResponsesInEachSchedule(@ForAll long seed) {
        ActionModel model = new ActionModel(seed);
        model.run(2_000);
        assertThat(model.replayed()).isAtLeast(20);
    }

    @Test
    void retryGetsTheFirstResponse() {
        ActionId id = id("1");
        assertThat(begin(id)).isInstanceOf(ActionDecision.Run.class);
        assertThat(begin(id)).isInstanceOf(ActionDecision.Await.class);
        ledger.finish(id, new ActionOutcome.Ran(new byte[] {7}));
        ActionDecision again = begin(id);
        assertThat(again).isInstanceOf(ActionDecision.Replay.class);
        assertThat(((ActionDecision.Replay) again).response()).isEqualTo(new byte[] {7});
    }

    @Test
    void idIsBoundToItsTeamAndBody() {
        ActionId id = id("1");
        begin(id);
        assertThat(ledger.begin(id, "other", "body", 0))
                .isInstanceOf(ActionDecision.RejectMismatch.class);
        assertThat(ledger.begin(id, "team", "other", 0))
                .isInstanceOf(ActionDecision.RejectMismatch.class);
    }

    @Test
    void unrecordedIdOlderThanTheMaximumStartAgeStaysInDoubt() {
        long old = (ActionLedger.MAXIMUM_START_AGE_PERIODS + 1) * ActionLedger.PERIOD_NANOS;
        assertThat(ledger.begin(id("1"), "team", "body", old))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
    }

    @Test
    void memoryIsBoundedByTheRetention() {
        for (int minute = 0; minute < 100; minute++) {
            long now = minute * ActionLedger.PERIOD_NANOS;
            ActionId id = ActionId.parse(ledger.prefix(now) + "x").orElseThrow();
            assertThat(ledger.begin(id, "team", "body", now))
                    .isInstanceOf(ActionDecision.Run.class);
            ledger.finish(id, new ActionOutcome.Ran(new byte[0]));
        }
        assertThat(ledger.size()).isAtMost(2 * (int) ActionLedger.MAXIMUM_START_AGE_PERIODS + 2);
    }

    @Test
    void successorReplaysAndRunsOnlyCallsThatNeverStarted() {
        ActionId finished = id("1");
        ActionId running = id("2");
        begin(finished);
        ledger.finish(finished, new ActionOutcome.Ran(new byte[] {1}));
        begin(running);
        ledger.close();
        ActionLedger successor = new ActionLedger(new MemberIdentity("vm-2", "b"), 0);
        successor.takeOwnership(ledger.ownershipPeriods(0), List.of(), false, 0);
        assertThat(successor.begin(id("3"), "team", "body", 0))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
        successor.takeOwnership(ledger.ownershipPeriods(0), ledger.recordsForSuccessor(), true, 0);
        assertThat(successor.begin(finished, "team", "body", 0))
                .isInstanceOf(ActionDecision.Replay.class);
        assertThat(successor.begin(running, "team", "body", 0))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
        assertThat(successor.begin(id("3"), "team", "body", 0))
                .isInstanceOf(ActionDecision.Run.class);
    }

    /**
     * A successor stops as well and transfers its records in parts. A call of the first VM that
     * arrives between the parts, before its record, must not run a second time.
     */
    @Test
    void successorOfASuccessorKeepsCallsInDoubtUntilAllRecordsArrive() {
        ActionId finished = id("1");
        begin(finished);
        ledger.finish(finished, new ActionOutcome.Ran(new byte[] {1}));
        ledger.close();
        MemberIdentity second = new MemberIdentity("vm-2", "b");
        ActionLedger successor = new ActionLedger(second, 0);
        successor.takeOwnership(ledger.ownershipPeriods(0), ledger.recordsForSuccessor(), true, 0);
        successor.close();
        ActionLedger thirdLedger = new ActionLedger(new MemberIdentity("vm-3", "c"), 0);
        thirdLedger.takeOwnership(successor.ownershipPeriods(0), List.of(), false, 0);
        assertThat(thirdLedger.begin(finished, "team", "body", 0))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
        thirdLedger.takeOwnership(
                successor.ownershipPeriods(0), successor.recordsForSuccessor(), true, 0);
        assertThat(thirdLedger.begin(finished, "team", "body", 0))
                .isInstanceOf(ActionDecision.Replay.class);
    }

    /**
     * A call runs, its record is deleted because of its age, and its VM stops. A successor that
     * counted the age of the id from the transfer would run the call a second time.
     */
    @Test
    void successorKeepsCallsWithDeletedRecordsInDoubt() {
        ActionId finished = id("1");
        begin(finished);
        ledger.finish(finished, new ActionOutcome.Ran(new byte[] {1}));
        long laterNanos = 30 * ActionLedger.PERIOD_NANOS;
        ledger.begin(
                ActionId.parse(ledger.prefix(laterNanos) + "x").orElseThrow(),
                "t",
                "b",
                laterNanos);
        assertThat(ledger.size()).isEqualTo(1);
        ledger.close();
        ActionLedger successor = new ActionLedger(new MemberIdentity("vm-2", "b"), laterNanos);
        successor.takeOwnership(
                ledger.ownershipPeriods(laterNanos),
                ledger.recordsForSuccessor(),
                true,
                laterNanos);
        assertThat(successor.begin(finished, "team", "body", laterNanos))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
    }

    @Test
    void malformedIdsAreNotParsed() {
        assertThat(ActionId.parse("")).isEqualTo(Optional.empty());
        assertThat(ActionId.parse("vm.i.x.s")).isEqualTo(Optional.empty());
        assertThat(ActionId.parse("vm.i.1." + "s".repeat(65))).isEqualTo(Optional.empty());
    }

    private ActionId id(String suffix) {
        return ActionId.parse(ledger.prefix(0) + suffix).orElseThrow();
    }

    private ActionDecision begin(ActionId id) {
        return ledger.begin(id, "team", "body", 0);
    }
}
