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
 * Models calls that travel between VMs on a virtual clock, with an endpoint that counts the runs
 * that took effect.
 *
 * <p>Calls arrive more than once, late and through any VM; responses are lost; VMs crash at any
 * step or stop gracefully and transfer their records to a successor; a run may fail before or after
 * its effect. Not thread-safe.
 */
final class ActionModel {
    private static final String BODY = "body";

    private final Random random;
    private final Map<MemberIdentity, ActionLedger> runningLedgers = new HashMap<>();
    private final Map<MemberIdentity, MemberIdentity> successors = new HashMap<>();
    private final Map<ActionId, Integer> runs = new HashMap<>();
    private final Set<ActionId> reportedNotRun = new HashSet<>();
    private final Map<ActionId, byte[]> responses = new HashMap<>();
    private final List<PendingRun> pending = new ArrayList<>();
    private final List<ActionId> ids = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long now;
    private int incarnations;
    private int replayed;

    /** A run that a VM has started and that has not ended. */
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

    int replayed() {
        return replayed;
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
        runningLedgers.put(identity, new ActionLedger(identity, now));
        return identity;
    }

    private MemberIdentity anyVm() {
        List<MemberIdentity> vms = new ArrayList<>(runningLedgers.keySet());
        vms.sort((first, second) -> first.incarnation().compareTo(second.incarnation()));
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
        String prefix = runningLedgers.get(anyVm()).prefix(now);
        ActionId id = ActionId.parse(prefix + "s" + ids.size()).orElseThrow();
        ids.add(id);
        arrive(id, "team", BODY);
    }

    /**
     * Lets the call arrive at any VM, which forwards it to its owner or to the owner's successor.
     */
    private void arrive(ActionId id, String team, String body) {
        MemberIdentity at = anyVm();
        ActionDecision decision = runningLedgers.get(at).begin(id, team, body, now);
        if (decision instanceof ActionDecision.ForwardToOwner) {
            MemberIdentity owner = id.owner();
            while (!runningLedgers.containsKey(owner) && successors.containsKey(owner)) {
                owner = successors.get(owner);
            }
            if (!runningLedgers.containsKey(owner)) {
                return;
            }
            at = owner;
            decision = runningLedgers.get(owner).begin(id, team, body, now);
        }
        checkDecision(at, id, team, body, decision);
    }

    private void checkDecision(
            MemberIdentity at, ActionId id, String team, String body, ActionDecision decision) {
        boolean isOriginalCall = team.equals("team") && body.equals(BODY);
        switch (decision) {
            case ActionDecision.Run run -> {
                if (!isOriginalCall && responses.containsKey(id)) {
                    violations.add("ran " + id + " for another team or body");
                }
                pending.add(new PendingRun(at, id));
            }
            case ActionDecision.Replay replay -> {
                replayed++;
                if (!java.util.Arrays.equals(replay.response(), responses.get(id))) {
                    violations.add("response of another call replayed for " + id);
                }
            }
            case ActionDecision.RejectNotRun rejected -> reportNotRun(id);
            default -> {
                // The decision makes no statement that could be wrong.
            }
        }
    }

    private void reportNotRun(ActionId id) {
        reportedNotRun.add(id);
        if (runs.getOrDefault(id, 0) > 0) {
            violations.add("reported \"not run\" for " + id + ", which ran");
        }
    }

    private void endOneRun() {
        if (pending.isEmpty()) {
            return;
        }
        PendingRun run = pending.remove(random.nextInt(pending.size()));
        boolean hadEffect = random.nextInt(4) != 0;
        if (hadEffect) {
            int count = runs.merge(run.id, 1, Integer::sum);
            responses.put(run.id, ("answer of " + run.id).getBytes());
            if (count > 1) {
                violations.add(run.id + " ran twice");
            }
        }
        ActionLedger ledger = runningLedgers.get(run.vm);
        if (ledger == null) {
            return;
        }
        boolean responseLost = random.nextInt(4) == 0;
        if (hadEffect && !responseLost) {
            ledger.finish(run.id, new ActionOutcome.Ran(responses.get(run.id)));
        } else if (!hadEffect && !responseLost) {
            ledger.finish(run.id, new ActionOutcome.NotRun("refused"));
        } else {
            ledger.finish(run.id, new ActionOutcome.InDoubt("no answer"));
        }
    }

    /** Crashes a VM at any point; runs that it has started may still take effect. */
    private void crash() {
        runningLedgers.remove(anyVm());
        start();
    }

    private void stopGracefully() {
        MemberIdentity from = anyVm();
        ActionLedger ledger = runningLedgers.get(from);
        ledger.close();
        List<ActionRecord> records = ledger.recordsForSuccessor();
        MemberIdentity successor = anyVm();
        if (successor.equals(from)) {
            successor = start();
        }
        int half = records.size() / 2;
        ActionLedger successorLedger = runningLedgers.get(successor);
        List<OwnershipPeriod> previousOwners = ledger.ownershipPeriods(now);
        for (OwnershipPeriod previousOwner : previousOwners) {
            successors.put(previousOwner.identity(), successor);
        }
        successorLedger.takeOwnership(previousOwners, records.subList(0, half), false, now);
        runningLedgers.remove(from);
        if (!ids.isEmpty()) {
            arrive(anyId(), "team", BODY);
        }
        successorLedger.takeOwnership(
                previousOwners, records.subList(half, records.size()), true, now);
        if (runningLedgers.size() < 3) {
            start();
        }
    }
}
