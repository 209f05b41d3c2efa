package org.bronzelug.core.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against holding the wrong part for the cause of crashes, and against missing the cause.
 */
class PoisonMonitorTest {
    private static final String POOL = "pool";
    private static final String OTHER_POOL = "other";
    private static final String VERSION = "v1";
    private static final PartKey BAD = part("bad");
    private static final PartKey SHARED = part("shared");
    private static final PartKey RARE = part("rare");
    private static final int SAFE_LOOPS = 100;

    private final Set<Set<PartKey>> quarantined = new LinkedHashSet<>();
    private final List<PartKey> released = new ArrayList<>();
    private final PoisonMonitor monitor = newMonitor();
    private long millis;
    private int starts;
    private int requests;

    private PoisonMonitor newMonitor() {
        PoisonMonitor created =
                new PoisonMonitor(
                        new QuarantineListener() {
                            @Override
                            public void onQuarantined(QuarantinedParts parts, String source) {
                                quarantined.add(parts.parts());
                            }

                            @Override
                            public void onReleased(QuarantinedParts before, PartKey survived) {
                                released.add(survived);
                            }
                        },
                        0);
        created.setEndpoints(Map.of(POOL, 8, OTHER_POOL, 8));
        return created;
    }

    private static PartKey part(String id) {
        return PartKey.of(POOL, id);
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private EndpointRun newRun() {
        return newRun(POOL);
    }

    private EndpointRun newRun(String pool) {
        return new EndpointRun(new EndpointStart("endpoint", ++starts), pool, VERSION);
    }

    /** Returns the keys of a request that no other one is like. */
    private RequestKeys keys(PartKey... parts) {
        String fingerprint = "request" + ++requests;
        return new RequestKeys(List.of(parts), () -> PartKey.ofRequest(POOL, fingerprint));
    }

    private WatchedAttempt send(EndpointRun run, PartKey... parts) {
        WatchedAttempt watched = monitor.begin(run, keys(parts), nanos());
        watched.recordWritten();
        return watched;
    }

    private void pass(long passed) {
        for (long end = millis + passed; millis < end; ) {
            millis += Math.min(100, end - millis);
            monitor.sweep(nanos());
        }
    }

    /** Sends a request that begins; its endpoint crashes a moment later. */
    private void crashUnder(PartKey... parts) {
        crashUnder(newRun(), parts);
    }

    private void crashUnder(EndpointRun run, PartKey... parts) {
        WatchedAttempt watched = send(run, parts);
        watched.recordHead(nanos());
        pass(100);
        watched.end(nanos());
        monitor.recordCrash(run, OptionalLong.of(nanos()), nanos());
        pass(500);
    }

    private void survive(PartKey... parts) {
        survive(newRun(), parts);
    }

    private void survive(EndpointRun run, PartKey... parts) {
        WatchedAttempt watched = send(run, parts);
        watched.recordData(nanos());
        pass(1_100);
        watched.recordData(nanos());
        watched.complete(nanos());
        pass(100);
    }

    private boolean isRejected(PartKey... parts) {
        return monitor.admit(List.of(parts), nanos()) instanceof PartAdmission.Rejected;
    }

    @Test
    void aPartIsQuarantinedAtTheThirdCrash() {
        survive(SHARED);
        crashUnder(SHARED, BAD);
        crashUnder(SHARED, BAD);
        assertThat(quarantined).isEmpty();
        crashUnder(SHARED, BAD);
        assertThat(quarantined).containsExactly(Set.of(BAD));
        assertThat(isRejected(SHARED, BAD)).isTrue();
        assertThat(isRejected(SHARED)).isFalse();
    }

    /** Parts that always come together are rejected together only; one of them tells which. */
    @Test
    void partsThatCannotBeToldApartAreRejectedTogether() {
        for (int crash = 0; crash < 3; crash++) {
            crashUnder(SHARED, BAD);
        }
        assertThat(quarantined).containsExactly(Set.of(SHARED, BAD));
        assertThat(isRejected(SHARED, BAD)).isTrue();
        assertThat(isRejected(SHARED, RARE)).isFalse();
        survive(SHARED, RARE);
        assertThat(released).containsExactly(SHARED);
        assertThat(isRejected(BAD)).isTrue();
        assertThat(isRejected(SHARED)).isFalse();
    }

    @Test
    void twoCausesAreFound() {
        for (int crash = 0; crash < 5; crash++) {
            crashUnder(BAD);
            crashUnder(RARE);
        }
        assertThat(quarantined).containsExactly(Set.of(BAD), Set.of(RARE));
    }

    @Test
    void aPartThatAnEndpointHasSurvivedIsNotHeldForTheCause() {
        crashUnder(RARE);
        crashUnder(RARE);
        survive(RARE);
        crashUnder(RARE);
        assertThat(quarantined).isEmpty();
    }

    /** The whole response may have arrived just before the endpoint crashes. */
    @Test
    void aWholeResponseAloneDoesNotShowThatTheEndpointSurvived() {
        for (int crash = 0; crash < 3; crash++) {
            EndpointRun run = newRun();
            WatchedAttempt watched = send(run, BAD);
            watched.recordData(nanos());
            watched.complete(nanos());
            run.recordConnected(nanos());
            pass(200);
            monitor.recordCrash(run, OptionalLong.of(nanos()), nanos());
            pass(500);
        }
        assertThat(quarantined).containsExactly(Set.of(BAD));
    }

    /** What a VM reads after it was suspended may have been sent long before. */
    @Test
    void aSuspendedVmDoesNotTakeDelayedBytesForSurvival() {
        EndpointRun run = newRun();
        WatchedAttempt watched = send(run, BAD);
        watched.recordData(nanos());
        millis += 5_000;
        monitor.sweep(nanos());
        watched.recordData(nanos());
        monitor.sweep(nanos());
        assertThat(monitor.areHarmless(List.of(BAD), VERSION, nanos())).isFalse();
    }

    /** A host or network that fails takes many endpoints at once. */
    @Test
    void crashesAtTheSameTimeCountOnce() {
        List<EndpointRun> runs = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            runs.add(newRun());
            send(runs.get(index), RARE).recordHead(nanos());
        }
        pass(100);
        runs.forEach(run -> monitor.recordCrash(run, OptionalLong.of(nanos()), nanos()));
        pass(500);
        assertThat(quarantined).isEmpty();
    }

    /** The head of the response may be lost with the endpoint. */
    @Test
    void aPartWhoseBeginIsNeverSeenIsFoundLater() {
        int crashes = 0;
        while (quarantined.isEmpty() && crashes < SAFE_LOOPS) {
            EndpointRun run = newRun();
            WatchedAttempt watched = send(run, BAD);
            pass(300);
            watched.end(nanos());
            monitor.recordCrash(run, OptionalLong.of(nanos()), nanos());
            pass(500);
            crashes++;
        }
        assertThat(quarantined).containsExactly(Set.of(BAD));
        assertThat(crashes).isAtMost(8);
    }

    @Test
    void aRequestThatWasNeverWrittenIsNoSuspect() {
        for (int crash = 0; crash < SAFE_LOOPS; crash++) {
            EndpointRun run = newRun();
            monitor.begin(run, keys(RARE), nanos());
            monitor.recordCrash(run, OptionalLong.of(nanos()), nanos());
            pass(500);
        }
        assertThat(quarantined).isEmpty();
    }

    @Test
    void aSuspectedPartIsTriedOnceAtATime() {
        crashUnder(BAD);
        EndpointRun run = newRun();
        WatchedAttempt trial = send(run, BAD);
        assertThat(monitor.admit(List.of(BAD), nanos())).isEqualTo(new PartAdmission.Waiting(BAD));
        trial.end(nanos());
        assertThat(monitor.admit(List.of(BAD), nanos())).isEqualTo(new PartAdmission.Waiting(BAD));
        pass(300);
        assertThat(monitor.admit(List.of(BAD), nanos())).isEqualTo(new PartAdmission.Allowed());
    }

    @Test
    void aTrialThatDoesNotBeginHoldsOthersBackForALimitedTimeOnly() {
        crashUnder(BAD);
        send(newRun(), BAD);
        pass(3_500);
        assertThat(monitor.admit(List.of(BAD), nanos())).isEqualTo(new PartAdmission.Allowed());
    }

    /** All VMs get each report; repeating it at each request would take a large fleet's time. */
    @Test
    void aTrialIsReportedWhenItChangesAndAFewTimesASecond() {
        crashUnder(BAD);
        while (monitor.roundReport(nanos()).isPresent()) {
            pass(100);
        }
        WatchedAttempt trial = send(newRun(), BAD);
        assertThat(monitor.urgentReport(nanos())).isPresent();
        send(newRun(), SHARED);
        assertThat(monitor.urgentReport(nanos())).isEmpty();
        int reports = 0;
        for (int round = 0; round < 9; round++) {
            pass(100);
            reports += monitor.roundReport(nanos()).isPresent() ? 1 : 0;
        }
        assertThat(reports).isEqualTo(3);
        trial.end(nanos());
        pass(300);
        assertThat(monitor.urgentReport(nanos())).isPresent();
        assertThat(monitor.urgentReport(nanos())).isEmpty();
    }

    /** A wrong quarantine would otherwise reject requests that would refute it. */
    @Test
    void oneRequestIsSentToConfirmAQuarantine() {
        for (int crash = 0; crash < 3; crash++) {
            crashUnder(BAD);
        }
        assertThat(isRejected(BAD)).isTrue();
        pass(1_500);
        assertThat(isRejected(BAD)).isFalse();
        WatchedAttempt trial = send(newRun(), BAD);
        assertThat(isRejected(BAD)).isTrue();
        trial.end(nanos());
        crashUnder(BAD);
        pass(60_000);
        assertThat(isRejected(BAD)).isTrue();
    }

    @Test
    void aQuarantineThatIsNotConfirmedEnds() {
        for (int crash = 0; crash < 3; crash++) {
            crashUnder(RARE);
        }
        pass(1_500);
        survive(RARE);
        assertThat(released).containsExactly(RARE);
        assertThat(isRejected(RARE)).isFalse();
    }

    /** The endpoint had lived with the popular part for some time before it crashed. */
    @Test
    void aPartThatHadBegunEarlierIsNotTheCause() {
        for (int crash = 0; crash < 3; crash++) {
            EndpointRun run = newRun();
            send(run, SHARED).recordHead(nanos());
            pass(600);
            send(run, SHARED).recordHead(nanos());
            WatchedAttempt cause = send(run, BAD);
            pass(100);
            monitor.recordCrash(run, OptionalLong.of(nanos()), nanos());
            cause.end(nanos());
            pass(500);
        }
        assertThat(quarantined.contains(Set.of(SHARED))).isFalse();
    }

    /** The caller left at once, and the VM had no other connection there. */
    @Test
    void aCrashThatIsNoticedLateSpeaksAgainstWhatHadJustBegun() {
        survive(SHARED);
        for (int crash = 0; crash < 3; crash++) {
            EndpointRun run = newRun();
            WatchedAttempt left = send(run, SHARED, BAD);
            left.recordData(nanos());
            left.end(nanos());
            pass(900);
            monitor.recordCrash(run, OptionalLong.empty(), nanos());
            pass(500);
        }
        assertThat(quarantined).containsExactly(Set.of(BAD));
    }

    /** After its time, a quarantine is renewed by one more crash, for twice as long. */
    @Test
    void aQuarantineThatHasEndedIsRenewedByOneCrash() {
        for (int crash = 0; crash < 3; crash++) {
            crashUnder(BAD);
        }
        crashUnder(BAD);
        millis += TimeUnit.NANOSECONDS.toMillis(PartQuarantine.FIRST_NANOS);
        pass(100);
        assertThat(isRejected(BAD)).isFalse();
        crashUnder(BAD);
        assertThat(isRejected(BAD)).isTrue();
        assertThat(monitor.quarantines().get(0).times()).isEqualTo(2);
    }

    /** Software that was installed meanwhile crashes under the part once, then survives it. */
    @Test
    void aQuarantineThatWasRenewedUnderOtherSoftwareEndsOnceThatSurvives() {
        for (int crash = 0; crash < 4; crash++) {
            crashUnder(BAD);
        }
        millis += TimeUnit.NANOSECONDS.toMillis(PartQuarantine.FIRST_NANOS);
        pass(100);
        EndpointRun surviving = new EndpointRun(new EndpointStart("new", 1), POOL, "v2");
        WatchedAttempt watched = send(surviving, BAD);
        watched.recordData(nanos());
        crashUnder(new EndpointRun(new EndpointStart("new", 2), POOL, "v2"), BAD);
        assertThat(isRejected(BAD)).isTrue();
        pass(1_000);
        watched.recordData(nanos());
        pass(100);
        assertThat(isRejected(BAD)).isFalse();
    }

    /** A route moves to another pool, whose endpoints crash under the same part. */
    @Test
    void aPartUnderWhichAnotherPoolCrashedIsQuarantinedAtOneCrash() {
        PartKey badThere = PartKey.of(OTHER_POOL, BAD.id());
        PartKey sharedThere = PartKey.of(OTHER_POOL, SHARED.id());
        survive(SHARED);
        for (int crash = 0; crash < 4; crash++) {
            crashUnder(SHARED, BAD);
        }
        assertThat(isRejected(sharedThere, badThere)).isFalse();
        crashUnder(newRun(OTHER_POOL), sharedThere, badThere);
        assertThat(isRejected(sharedThere, badThere)).isTrue();
        assertThat(isRejected(sharedThere)).isFalse();
        crashUnder(newRun(OTHER_POOL), sharedThere, badThere);
        pass(60_000);
        assertThat(isRejected(sharedThere, badThere)).isTrue();
    }

    /** The other pool's endpoints may survive the part, and crash for another reason. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aPartThatAPoolSurvivesIsNotQuarantinedThereForLong(boolean survivedBefore) {
        PartKey badThere = PartKey.of(OTHER_POOL, BAD.id());
        for (int crash = 0; crash < 4; crash++) {
            crashUnder(BAD);
        }
        if (survivedBefore) {
            survive(newRun(OTHER_POOL), badThere);
        }
        crashUnder(newRun(OTHER_POOL), badThere);
        assertThat(isRejected(badThere)).isEqualTo(!survivedBefore);
        pass(1_500);
        survive(newRun(OTHER_POOL), badThere);
        assertThat(isRejected(badThere)).isFalse();
        assertThat(isRejected(BAD)).isTrue();
    }

    /** Three crashes may be a coincidence; only a confirmed quarantine counts for other pools. */
    @Test
    void aQuarantineThatIsNotConfirmedDoesNotCountForAnotherPool() {
        for (int crash = 0; crash < 3; crash++) {
            crashUnder(BAD);
        }
        PartKey badThere = PartKey.of(OTHER_POOL, BAD.id());
        crashUnder(newRun(OTHER_POOL), badThere);
        assertThat(isRejected(badThere)).isFalse();
    }

    @Test
    void aQuarantineOfAnotherVmIsNotAdoptedForASurvivedPart() {
        survive(RARE);
        QuarantinedParts wrong =
                new QuarantinedParts(
                        Set.of(RARE), Set.of(VERSION), nanos(), nanos() + 1_000_000_000L, 1, true);
        monitor.adopt(wrong, "vm", nanos());
        assertThat(isRejected(RARE)).isFalse();
        assertThat(monitor.roundReport(nanos()).orElseThrow().survivals())
                .containsExactly(new PoisonReport.Survival(RARE, VERSION));
    }

    /** The fix of a newer software version says nothing of the older one, and the reverse. */
    @Test
    void survivalCountsForItsSoftwareVersionOnly() {
        EndpointRun other = new EndpointRun(new EndpointStart("other", 1), POOL, "v2");
        WatchedAttempt watched = send(other, BAD);
        watched.recordData(nanos());
        pass(1_100);
        watched.recordData(nanos());
        pass(100);
        for (int crash = 0; crash < 3; crash++) {
            crashUnder(BAD);
        }
        assertThat(quarantined).containsExactly(Set.of(BAD));
    }

    /**
     * The more endpoints crash without a part, the more crashes it takes to hold it for a cause.
     */
    @ParameterizedTest
    @CsvSource({"0, 3", "8, 5", "16, 6"})
    void itTakesMoreCrashesInACrashStorm(int othersInTenSeconds, int least) {
        for (int index = 0; index < othersInTenSeconds; index++) {
            monitor.recordCrash(newRun(), OptionalLong.of(nanos()), nanos());
            pass(10_000 / othersInTenSeconds);
        }
        int crashes = 0;
        while (quarantined.isEmpty() && crashes < SAFE_LOOPS) {
            crashUnder(RARE);
            crashes++;
        }
        assertThat(crashes).isAtLeast(least);
    }

    /** Callers choose the ids and the number of the parts. */
    @ParameterizedTest
    @ValueSource(ints = {1, 64, 65, 100_000})
    void idsOfAnyLengthAreToldApart(int length) {
        String id = "x".repeat(length);
        assertThat(PartKey.of(POOL, id).id().length()).isAtMost(PartKey.MAXIMUM_ID_CHARACTERS);
        assertThat(PartKey.of(POOL, id)).isEqualTo(PartKey.of(POOL, id));
        assertThat(PartKey.of(POOL, id)).isNotEqualTo(PartKey.of(POOL, id + "y"));
    }
}
