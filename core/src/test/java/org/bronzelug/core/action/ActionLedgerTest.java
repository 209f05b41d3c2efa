package org.bronzelug.core.action;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bronzelug.core.membership.MemberIdentity;
import org.junit.jupiter.api.Test;

/**
 * A non-idempotent call runs at most once, and "not run" is true.
 *
 * <p>What the caller would see: a voucher refunded twice, or a refund refused as not run that took
 * place. The order: the call runs, its answer is lost, its VM crashes or hands over, and the caller
 * asks again through every VM. Why: whoever did not see the first run can't tell that there was
 * one.
 */
class ActionLedgerTest {
    private final MemberIdentity home = new MemberIdentity("vm-1", "a");
    private final ActionLedger ledger = new ActionLedger(home, 0);

    @Property(seed = "7401")
    void runsAtMostOnceInAnySchedule(@ForAll long seed) {
        ActionModel model = new ActionModel(seed);
        assertThat(model.run(400)).isEmpty();
    }

    /** The model must also let calls be answered: refusing all would prove nothing. */
    @Property(seed = "7402")
    void answersRetriesInMostSchedules(@ForAll long seed) {
        ActionModel model = new ActionModel(seed);
        model.run(2_000);
        assertThat(model.answered()).isAtLeast(20);
    }

    @Test
    void aRetryGetsTheFirstAnswer() {
        ActionId id = id("1");
        assertThat(begin(id)).isInstanceOf(ActionDecision.Run.class);
        assertThat(begin(id)).isInstanceOf(ActionDecision.Await.class);
        ledger.finish(id, new ActionOutcome.Ran(new byte[] {7}));
        ActionDecision again = begin(id);
        assertThat(again).isInstanceOf(ActionDecision.Repeat.class);
        assertThat(((ActionDecision.Repeat) again).answer()).isEqualTo(new byte[] {7});
    }

    @Test
    void anIdIsBoundToItsTeamAndBody() {
        ActionId id = id("1");
        begin(id);
        assertThat(ledger.begin(id, "other", "body", 0))
                .isInstanceOf(ActionDecision.RejectMismatch.class);
        assertThat(ledger.begin(id, "team", "other", 0))
                .isInstanceOf(ActionDecision.RejectMismatch.class);
    }

    @Test
    void anIdOlderThanTheRecordsKeptStaysInDoubt() {
        long old = (ActionLedger.PERIODS_TO_BEGIN + 1) * ActionLedger.PERIOD_NANOS;
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
        assertThat(ledger.size()).isAtMost(2 * (int) ActionLedger.PERIODS_TO_BEGIN + 2);
    }

    @Test
    void anHeirAnswersAndMayRunWhatItsPredecessorNeverBegan() {
        ActionId ran = id("1");
        ActionId running = id("2");
        begin(ran);
        ledger.finish(ran, new ActionOutcome.Ran(new byte[] {1}));
        begin(running);
        ledger.close();
        ActionLedger heir = new ActionLedger(new MemberIdentity("vm-2", "b"), 0);
        heir.adopt(ledger.ownershipPeriods(0), List.of(), false, 0);
        assertThat(heir.begin(id("3"), "team", "body", 0))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
        heir.adopt(ledger.ownershipPeriods(0), ledger.recordsForSuccessor(), true, 0);
        assertThat(heir.begin(ran, "team", "body", 0)).isInstanceOf(ActionDecision.Repeat.class);
        assertThat(heir.begin(running, "team", "body", 0))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
        assertThat(heir.begin(id("3"), "team", "body", 0)).isInstanceOf(ActionDecision.Run.class);
    }

    /**
     * Found by the model: an heir stops too, and hands on in parts. A call of the first VM comes
     * between the parts, when its record is still to come, and was run a second time.
     */
    @Test
    void anHeirOfAnHeirWaitsForTheRecordsOfBoth() {
        ActionId ran = id("1");
        begin(ran);
        ledger.finish(ran, new ActionOutcome.Ran(new byte[] {1}));
        ledger.close();
        MemberIdentity second = new MemberIdentity("vm-2", "b");
        ActionLedger heir = new ActionLedger(second, 0);
        heir.adopt(ledger.ownershipPeriods(0), ledger.recordsForSuccessor(), true, 0);
        heir.close();
        ActionLedger last = new ActionLedger(new MemberIdentity("vm-3", "c"), 0);
        last.adopt(heir.ownershipPeriods(0), List.of(), false, 0);
        assertThat(last.begin(ran, "team", "body", 0))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
        last.adopt(heir.ownershipPeriods(0), heir.recordsForSuccessor(), true, 0);
        assertThat(last.begin(ran, "team", "body", 0)).isInstanceOf(ActionDecision.Repeat.class);
    }

    /**
     * Found by the model: a call runs, its record is forgotten with age, its VM stops, and the
     * heir, which counted the age from the hand-over, ran the call a second time.
     */
    @Test
    void anHeirKnowsWhichIdsItsPredecessorMayHaveForgotten() {
        ActionId ran = id("1");
        begin(ran);
        ledger.finish(ran, new ActionOutcome.Ran(new byte[] {1}));
        long later = 30 * ActionLedger.PERIOD_NANOS;
        ledger.begin(ActionId.parse(ledger.prefix(later) + "x").orElseThrow(), "t", "b", later);
        assertThat(ledger.size()).isEqualTo(1);
        ledger.close();
        ActionLedger heir = new ActionLedger(new MemberIdentity("vm-2", "b"), later);
        heir.adopt(ledger.ownershipPeriods(later), ledger.recordsForSuccessor(), true, later);
        assertThat(heir.begin(ran, "team", "body", later))
                .isInstanceOf(ActionDecision.StayInDoubt.class);
    }

    @Test
    void malformedIdsAreNoIds() {
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
