package org.bronzelug.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Infers which parts of prompts crash endpoints, from the crashes that all VMs report, and decides
 * which requests may be sent.
 *
 * <p>A part that had begun to run when an endpoint crashed is suspected until an endpoint survives
 * it. While a part is suspected, the VMs together have one request with it in progress at a time.
 * Parts that explain three crashes are put under quarantine: requests with them are rejected. So is
 * a single request under which three endpoints have ended, see {@link RequestQuarantine}.
 *
 * <p>Invariant: a part is not put under quarantine while a request with it has begun to run and the
 * endpoint may yet survive it. Not thread-safe.
 */
public final class PoisonMonitor {
    /** Time from a quarantine to its trial; requests that were in progress have ended by then. */
    private static final long CONFIRM_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final PartAdmission ALLOWED = new PartAdmission.Allowed();

    private final PartSurvivals survivals = new PartSurvivals();
    private final CrashLog crashes = new CrashLog();
    private final PartQuarantine quarantine = new PartQuarantine();
    private final RequestQuarantine requests = new RequestQuarantine();
    private final OwnRuns runs;
    private final PartTrials trials;
    private final PendingReports pending = new PendingReports();
    private final QuarantineListener listener;

    /** Whether the parts that explain the crashes may have changed. */
    private boolean changed;

    private Map<String, Integer> endpoints = Map.of();

    public PoisonMonitor(QuarantineListener listener, long nowNanos) {
        this.listener = listener;
        this.runs = new OwnRuns(nowNanos);
        this.trials = new PartTrials(runs);
    }

    /** Sets the number of endpoints of each pool. */
    public void setEndpoints(Map<String, Integer> endpointsByPool) {
        endpoints = Map.copyOf(endpointsByPool);
    }

    /** Returns whether a request may be sent to an endpoint now. */
    public PartAdmission admit(RequestKeys keys, long nowNanos) {
        return matchRequest(keys, nowNanos)
                .<PartAdmission>map(
                        match ->
                                new PartAdmission.Rejected(
                                        match.parts(), match.untilNanos() - nowNanos))
                .orElseGet(() -> admit(keys.parts(), nowNanos));
    }

    private Optional<QuarantinedParts> matchRequest(RequestKeys keys, long nowNanos) {
        return requests.isEmpty() ? Optional.empty() : requests.match(keys.request(), nowNanos);
    }

    /** Returns the number of endpoints that have ended under a request, as far as is known. */
    public int ends(RequestKeys keys) {
        return requests.isEmpty() ? 0 : requests.ends(keys.request());
    }

    /** Returns whether a request with these parts may be sent to an endpoint now. */
    public PartAdmission admit(Collection<PartKey> parts, long nowNanos) {
        if (crashes.suspects().isEmpty() && quarantine.isEmpty()) {
            return ALLOWED;
        }
        Optional<QuarantinedParts> match = quarantine.match(parts, nowNanos);
        if (match.isPresent() && !mayConfirm(match.get(), nowNanos)) {
            return new PartAdmission.Rejected(
                    match.get().parts(), match.get().untilNanos() - nowNanos);
        }
        for (PartKey part : parts) {
            if (isSuspect(part) && trials.isInProgress(part, nowNanos)) {
                return new PartAdmission.Waiting(part);
            }
        }
        return ALLOWED;
    }

    /** Returns whether an admitted request may not be sent after all. */
    public boolean isQuarantined(RequestKeys keys, long nowNanos) {
        return matchRequest(keys, nowNanos).isPresent()
                || quarantine
                        .match(keys.parts(), nowNanos)
                        .filter(entry -> !isOnTrial(entry, nowNanos))
                        .isPresent();
    }

    /** Returns whether requests are sent, one at a time, to see whether a quarantine is right. */
    private static boolean isOnTrial(QuarantinedParts entry, long nowNanos) {
        return !entry.confirmed() && nowNanos - entry.sinceNanos() > CONFIRM_NANOS;
    }

    private boolean mayConfirm(QuarantinedParts entry, long nowNanos) {
        return isOnTrial(entry, nowNanos)
                && entry.parts().stream().noneMatch(part -> trials.isInProgress(part, nowNanos));
    }

    private boolean isSuspect(PartKey part) {
        return crashes.suspects().contains(part) || quarantine.isSuspect(part);
    }

    /** Returns whether one of the parts may crash endpoints, as far as crashes have shown. */
    public boolean isAnySuspect(Collection<PartKey> parts) {
        return parts.stream().anyMatch(this::isSuspect);
    }

    /** Returns whether an endpoint is known to survive each of the parts. */
    public boolean areHarmless(Collection<PartKey> parts, String softwareVersion, long nowNanos) {
        return parts.stream().allMatch(part -> survivals.contains(part, softwareVersion, nowNanos));
    }

    /** Records that a request is sent to an endpoint. */
    public WatchedAttempt begin(EndpointRun run, RequestKeys keys, long nowNanos) {
        Set<PartKey> uncertain = new HashSet<>();
        for (PartKey part : keys.parts()) {
            if (!survivals.isFresh(part, run.softwareVersion(), nowNanos)) {
                uncertain.add(part);
            }
        }
        WatchedAttempt watched = new WatchedAttempt(run, uncertain, keys, nowNanos);
        run.add(watched);
        runs.add(run);
        return watched;
    }

    /**
     * Records that an endpoint has crashed, and returns what may have caused it.
     *
     * @param lostNanos when a connection to it was lost; empty if none was
     */
    public EndpointCrash recordCrash(EndpointRun run, OptionalLong lostNanos, long nowNanos) {
        runs.sweep(run, (part, version) -> recordOwnSurvival(part, version, nowNanos), nowNanos);
        runs.remove(run);
        EndpointCrash crash =
                run.crash(
                        part -> survivals.contains(part, run.softwareVersion(), nowNanos),
                        lostNanos,
                        nowNanos);
        pending.addCrash(crash);
        record(crash, nowNanos);
        return crash;
    }

    private void record(EndpointCrash crash, long nowNanos) {
        String version = crash.softwareVersion();
        if (crashes.record(crash, part -> survivals.contains(part, version, nowNanos))) {
            confirm(crash);
            followPrecedent(crash, nowNanos);
            crashes.find(crash.start()).ifPresent(known -> recordRequests(known, nowNanos));
            changed = true;
        }
    }

    /** Counts the crash for the requests that were there, unless parts are known as its cause. */
    private void recordRequests(EndpointCrash crash, long nowNanos) {
        if (quarantine.match(crash.suspects().keySet(), nowNanos).isPresent()) {
            return;
        }
        for (PartKey request : crash.requests()) {
            requests.record(request, crash, nowNanos)
                    .ifPresent(
                            added -> {
                                pending.addQuarantine(added);
                                listener.onQuarantined(added, "endpoints that ended under it");
                            });
            if (requests.match(request, nowNanos).isPresent()) {
                crashes.attribute(request);
            }
        }
    }

    private boolean isExplained(EndpointCrash crash, long nowNanos) {
        return quarantine.covers(crash.suspects().keySet())
                || crash.suspects().isEmpty() && requests.explains(crash, nowNanos);
    }

    /**
     * Records that an endpoint has responded to a request completely.
     *
     * @return whether the request was suspected, so that the other VMs are to be notified
     */
    public boolean recordComplete(RequestKeys keys, String softwareVersion, long nowNanos) {
        if (requests.isEmpty() || !requests.isKnown(keys.request())) {
            return false;
        }
        clear(keys.request(), nowNanos);
        pending.addSeen(new PoisonReport.Survival(keys.request(), softwareVersion));
        return true;
    }

    private void clear(PartKey request, long nowNanos) {
        requests.clear(request, nowNanos).ifPresent(known -> listener.onReleased(known, request));
    }

    /** Looks for parts that endpoints have survived; to be called several times a second. */
    public void sweep(long nowNanos) {
        runs.sweep((part, version) -> recordOwnSurvival(part, version, nowNanos), nowNanos);
        quarantine.expire(nowNanos);
        crashes.expire(nowNanos);
        requests.expire(nowNanos);
        evaluate(nowNanos);
    }

    private void recordOwnSurvival(PartKey part, String softwareVersion, long nowNanos) {
        boolean suspected = isSuspect(part);
        recordSurvival(part, softwareVersion, nowNanos);
        if (suspected) {
            pending.addSeen(new PoisonReport.Survival(part, softwareVersion));
        }
    }

    private void recordSurvival(PartKey part, String softwareVersion, long nowNanos) {
        survivals.record(part, softwareVersion, nowNanos);
        if (isSuspect(part)) {
            crashes.clear(part, softwareVersion);
            changed = true;
        }
        quarantine
                .release(part, softwareVersion, nowNanos)
                .forEach(known -> listener.onReleased(known, part));
    }

    /**
     * Confirms quarantines by one more crash, or extends them by another part that was there and at
     * several crashes before: either part may be the cause.
     */
    private void confirm(EndpointCrash crash) {
        Set<PartKey> present = crash.suspects().keySet();
        Set<PartKey> others = crashes.recurring(present);
        for (QuarantinedParts entry : quarantine.confirm(present, others, crash.atNanos())) {
            pending.addQuarantine(entry);
            listener.onQuarantined(entry, "another crash");
        }
    }

    /** Puts parts under quarantine at one crash if they were before, or are in another pool. */
    private void followPrecedent(EndpointCrash crash, long nowNanos) {
        quarantine
                .precedent(crash.pool(), crash.begunParts(), nowNanos)
                .ifPresent(
                        known ->
                                quarantine(
                                        known.parts(),
                                        known.versionsWith(crash.softwareVersion()),
                                        "an earlier quarantine",
                                        nowNanos));
    }

    /**
     * Puts the parts under quarantine that explain the crashes; to be called shortly after a crash,
     * when the VMs with requests there have reported it, and in each sweep.
     */
    public void evaluate(long nowNanos) {
        if (!changed) {
            return;
        }
        changed = false;
        for (CrashLog.Explanation found :
                crashes.explain(crash -> isExplained(crash, nowNanos), endpoints, nowNanos)) {
            if (found.parts().stream().anyMatch(part -> trials.isBegun(part, nowNanos))) {
                changed = true;
            } else {
                quarantine(found.parts(), found.softwareVersions(), "own evidence", nowNanos);
            }
        }
    }

    private void quarantine(
            Set<PartKey> parts, Set<String> softwareVersions, String source, long nowNanos) {
        QuarantinedParts added = quarantine.add(parts, softwareVersions, nowNanos);
        pending.addQuarantine(added);
        listener.onQuarantined(added, source);
    }

    private Set<PartKey> ownTrials(boolean begun, long nowNanos) {
        return hasSuspects() ? trials.own(begun, this::isSuspect, nowNanos) : Set.of();
    }

    /** Applies the report of another VM. */
    public void receive(String vm, PoisonReport report, long nowNanos) {
        trials.record(vm, report, nowNanos);
        for (PoisonReport.Survival survival : report.survivals()) {
            pending.recordHeard(survival, nowNanos);
            if (survival.part().isRequest()) {
                clear(survival.part(), nowNanos);
            } else {
                recordSurvival(survival.part(), survival.softwareVersion(), nowNanos);
            }
        }
        for (EndpointCrash crash : report.crashes()) {
            record(crash, nowNanos);
            join(crash, nowNanos);
            contradict(crash.suspects().keySet(), Set.of(crash.softwareVersion()), nowNanos);
        }
        report.quarantines().forEach(known -> adopt(known, "vm " + vm, nowNanos));
    }

    /** Adds this VM's requests at an endpoint of whose crash another VM was the first to learn. */
    private void join(EndpointCrash crash, long nowNanos) {
        runs.find(crash.start()).ifPresent(run -> recordCrash(run, OptionalLong.empty(), nowNanos));
    }

    /**
     * Adopts a quarantine that another VM or the platform knows, without the parts that an endpoint
     * is known to survive.
     */
    public void adopt(QuarantinedParts known, String source, long nowNanos) {
        if (known.parts().stream().anyMatch(PartKey::isRequest)) {
            if (requests.adopt(known, nowNanos)) {
                listener.onQuarantined(known, source);
            }
            return;
        }
        Set<PartKey> parts = new HashSet<>(known.parts());
        parts.removeAll(contradict(known.parts(), known.softwareVersions(), nowNanos));
        QuarantinedParts rest =
                new QuarantinedParts(
                        parts,
                        known.softwareVersions(),
                        known.sinceNanos(),
                        known.untilNanos(),
                        known.times(),
                        known.confirmed());
        if (!parts.isEmpty() && quarantine.adopt(rest, nowNanos)) {
            listener.onQuarantined(rest, source);
        }
    }

    /** Tells the other VMs which of the parts an endpoint has survived, and returns those. */
    private Set<PartKey> contradict(
            Collection<PartKey> parts, Set<String> softwareVersions, long nowNanos) {
        Set<PartKey> survived = new HashSet<>();
        for (PartKey part : parts) {
            for (String version : softwareVersions) {
                if (survivals.contains(part, version, nowNanos)) {
                    survived.add(part);
                    pending.addKnown(new PoisonReport.Survival(part, version), nowNanos);
                }
            }
        }
        return survived;
    }

    /** Returns the parts and the requests under quarantine. */
    public List<QuarantinedParts> quarantines() {
        List<QuarantinedParts> all = new ArrayList<>(quarantine.entries());
        all.addAll(requests.entries());
        return all;
    }

    /** Returns whether any part is suspected, so that the VMs tell each other of their requests. */
    public boolean hasSuspects() {
        return !crashes.suspects().isEmpty() || !quarantine.isEmpty();
    }

    /** Returns the report of this round, with what was new in the last rounds; empty if none. */
    public Optional<PoisonReport> roundReport(long nowNanos) {
        return pending.round(ownTrials(false, nowNanos), ownTrials(true, nowNanos));
    }

    /** Returns the report of what must not wait for the next round; empty if there is nothing. */
    public Optional<PoisonReport> urgentReport(long nowNanos) {
        return pending.urgent(ownTrials(false, nowNanos), ownTrials(true, nowNanos));
    }
}
