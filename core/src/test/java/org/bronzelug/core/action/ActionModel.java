package org.bronzelug.core.action;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * Calls that travel between VMs on a virtual clock; the endpoint counts what really ran.
 *
 * <p>Calls come doubled, late and through any VM; answers get lost; VMs crash at each step or stop
 * gracefully to an heir; a run may fail before or after its effect. Not thread-safe.
 */
final class ActionModel {
    private static final String BODY = "body";

    private final Random random;
    private final Map<MemberIdentity, ActionLedger> living = new HashMap<>();
    private final Map<MemberIdentity, MemberIdentity> heirs = new HashMap<>();
    private final Map<ActionId, Integer> runs = new HashMap<>();
    private final Set<ActionId> saidNotRun = new HashSet<>();
    private final Map<ActionId, byte[]> answers = new HashMap<>();
    private final List<PendingRun> pending = new ArrayList<>();
    private final List<ActionId> ids = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long now;
    private int incarnations;
    private int answered;

    /** A call that a VM has begun and that has not ended. */
    private record PendingRun(MemberIdentity vm, ActionId id) {}

    ActionModel(long seed) {
        random = new Random(seed);
        for (int index = 0; index < 3; index++) {
            start();
        }
    }

    List<String> run(int steps) {
        for (int step = 0; step < steps && violations.isEmpty(); step++) {
            now += random.nextInt(2) * random.nextLong(ActionLedger.PERIOD_NANOS / 2);
            step();
        }
        return violations;
    }

    int answered() {
        return answered;
    }

    private void step() {
        switch (random.nextInt(24)) {
            case 0 -> crash();
            case 1 -> stopGracefully();
            case 2, 3, 4 -> newCall();
            case 5, 6, 7, 8, 9, 10 -> endOneRun();
            case 11 -> arrive(anyId(), "other team", BODY);
            case 12 -> arrive(anyId(), "team", "other body");
            default -> arrive(anyId(), "team", BODY);
        }
    }

    private MemberIdentity start() {
        MemberIdentity identity = new MemberIdentity("vm", "i" + incarnations++);
        living.put(identity, new ActionLedger(identity, now));
        return identity;
    }

    private MemberIdentity anyVm() {
        List<MemberIdentity> vms = new ArrayList<>(living.keySet());
        vms.sort((one, other) -> one.incarnation().compareTo(other.incarnation()));
        return vms.get(random.nextInt(vms.size()));
    }

    private ActionId anyId() {
        if (ids.isEmpty()) {
            newCall();
        }
        int recent = Math.min(ids.size(), random.nextBoolean() ? 6 : ids.size());
        return ids.get(ids.size() - 1 - random.nextInt(recent));
    }

    private void newCall() {
        String prefix = living.get(anyVm()).prefix(now);
        ActionId id = ActionId.parse(prefix + "s" + ids.size()).orElseThrow();
        ids.add(id);
        arrive(id, "team", BODY);
    }

    /** The call arrives at any VM and is forwarded to its home or the home's heir. */
    private void arrive(ActionId id, String team, String body) {
        MemberIdentity at = anyVm();
        ActionDecision decision = living.get(at).begin(id, team, body, now);
        if (decision instanceof ActionDecision.ForwardToOwner) {
            MemberIdentity home = id.home();
            while (!living.containsKey(home) && heirs.containsKey(home)) {
                home = heirs.get(home);
            }
            if (!living.containsKey(home)) {
                return;
            }
            at = home;
            decision = living.get(home).begin(id, team, body, now);
        }
        judge(at, id, team, body, decision);
    }

    private void judge(
            MemberIdentity at, ActionId id, String team, String body, ActionDecision decision) {
        boolean genuine = team.equals("team") && body.equals(BODY);
        switch (decision) {
            case ActionDecision.Run run -> {
                if (!genuine && answers.containsKey(id)) {
                    violations.add("ran " + id + " for another team or body");
                }
                pending.add(new PendingRun(at, id));
            }
            case ActionDecision.Repeat repeat -> {
                answered++;
                if (!java.util.Arrays.equals(repeat.answer(), answers.get(id))) {
                    violations.add("another call's answer for " + id);
                }
            }
            case ActionDecision.RejectNotRun refused -> sayNotRun(id);
            default -> {
                // No claim is made that could be wrong.
            }
        }
    }

    private void sayNotRun(ActionId id) {
        saidNotRun.add(id);
        if (runs.getOrDefault(id, 0) > 0) {
            violations.add("said \"not run\" of " + id + ", which ran");
        }
    }

    private void endOneRun() {
        if (pending.isEmpty()) {
            return;
        }
        PendingRun run = pending.remove(random.nextInt(pending.size()));
        boolean effect = random.nextInt(4) != 0;
        if (effect) {
            int count = runs.merge(run.id, 1, Integer::sum);
            answers.put(run.id, ("answer of " + run.id).getBytes());
            if (count > 1) {
                violations.add(run.id + " ran twice");
            }
        }
        ActionLedger ledger = living.get(run.vm);
        if (ledger == null) {
            return;
        }
        boolean answerLost = random.nextInt(4) == 0;
        if (effect && !answerLost) {
            ledger.finish(run.id, new ActionOutcome.Ran(answers.get(run.id)));
        } else if (!effect && !answerLost) {
            ledger.finish(run.id, new ActionOutcome.NotRun("refused"));
        } else {
            ledger.finish(run.id, new ActionOutcome.InDoubt("no answer"));
        }
    }

    /** The VM is gone in the middle of whatever it did; runs it sent out may still take effect. */
    private void crash() {
        living.remove(anyVm());
        start();
    }

    private void stopGracefully() {
        MemberIdentity from = anyVm();
        ActionLedger ledger = living.get(from);
        ledger.close();
        List<ActionRecord> records = ledger.recordsForSuccessor();
        MemberIdentity heir = anyVm();
        if (heir.equals(from)) {
            heir = start();
        }
        int half = records.size() / 2;
        ActionLedger taker = living.get(heir);
        List<OwnershipPeriod> formers = ledger.ownershipPeriods(now);
        for (OwnershipPeriod former : formers) {
            heirs.put(former.identity(), heir);
        }
        taker.adopt(formers, records.subList(0, half), false, now);
        living.remove(from);
        if (!ids.isEmpty()) {
            arrive(anyId(), "team", BODY);
        }
        taker.adopt(formers, records.subList(half, records.size()), true, now);
        if (living.size() < 3) {
            start();
        }
    }
}
