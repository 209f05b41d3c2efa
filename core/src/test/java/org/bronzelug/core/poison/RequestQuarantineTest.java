package org.bronzelug.core.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against sending on a request under which endpoints end, and against blaming others. */
class RequestQuarantineTest {
    private static final String POOL = "pool";
    private static final String VERSION = "v1";
    private static final PartKey RARE = PartKey.of(POOL, "rare");
    private static final long STEP_MILLIS = 500;

    private final List<Set<PartKey>> quarantined = new ArrayList<>();
    private final List<PartKey> released = new ArrayList<>();
    private final Map<String, RequestKeys> requests = new HashMap<>();
    private final PoisonMonitor monitor = newMonitor();
    private long millis;
    private int starts;

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
        created.setEndpoints(Map.of(POOL, 8));
        return created;
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private RequestKeys request(String name, PartKey... parts) {
        return requests.computeIfAbsent(
                name, any -> new RequestKeys(List.of(parts), () -> PartKey.ofRequest(POOL, name)));
    }

    private void pass(long passed) {
        millis += passed;
        monitor.sweep(nanos());
    }

    private EndpointRun newRun() {
        return new EndpointRun(new EndpointStart("endpoint", ++starts), POOL, VERSION);
    }

    private WatchedAttempt send(EndpointRun run, RequestKeys keys) {
        WatchedAttempt watched = monitor.begin(run, keys, nanos());
        watched.recordWritten();
        return watched;
    }

    private void crash(EndpointRun run) {
        monitor.recordCrash(run, OptionalLong.of(nanos()), nanos());
        monitor.evaluate(nanos());
        pass(STEP_MILLIS);
    }

    /** An endpoint ends a time after it has begun to respond to a request. */
    private void endUnder(RequestKeys keys, long afterMillis) {
        EndpointRun run = newRun();
        WatchedAttempt watched = send(run, keys);
        watched.recordHead(nanos());
        watched.recordData(nanos());
        pass(afterMillis);
        watched.end(nanos());
        crash(run);
    }

    private boolean isRejected(RequestKeys keys) {
        return monitor.admit(keys, nanos()) instanceof PartAdmission.Rejected;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 60, 3_000})
    void aRequestIsSentNoMoreAfterThreeEnds(long afterMillis) {
        RequestKeys bad = request("bad");
        endUnder(bad, afterMillis);
        endUnder(bad, afterMillis);
        assertThat(isRejected(bad)).isFalse();
        endUnder(bad, afterMillis);
        assertThat(isRejected(bad)).isTrue();
        assertThat(monitor.isQuarantined(bad, nanos())).isTrue();
        assertThat(isRejected(request("other"))).isFalse();
    }

    @Test
    void aRequestThatOnlyWaitedCountsToo() {
        RequestKeys bad = request("bad");
        for (int end = 0; end < RequestQuarantine.MAXIMUM_ENDS; end++) {
            EndpointRun run = newRun();
            send(run, bad).end(nanos());
            crash(run);
        }
        assertThat(isRejected(bad)).isTrue();
    }

    @Test
    void theOnlySharedPartOfSuchARequestIsNotBlamed() {
        RequestKeys bad = request("bad", RARE);
        for (int end = 0; end < RequestQuarantine.MAXIMUM_ENDS; end++) {
            endUnder(bad, 60);
        }
        pass(STEP_MILLIS);
        assertThat(quarantined).containsExactly(Set.of(bad.request()));
        assertThat(monitor.admit(request("sound", RARE), nanos()))
                .isEqualTo(new PartAdmission.Allowed());
        assertThat(monitor.isAnySuspect(List.of(RARE))).isFalse();
    }

    @Test
    void requestsOfWhichAPartIsKnownToCrashEndpointsAreNotBlamed() {
        for (int end = 0; end < CrashEvidence.MINIMUM_CRASHES; end++) {
            endUnder(request("request" + end, RARE), 60);
        }
        assertThat(quarantined).containsExactly(Set.of(RARE));
        RequestKeys later = request("later", RARE);
        for (int end = 0; end < RequestQuarantine.MAXIMUM_ENDS; end++) {
            endUnder(later, 60);
        }
        assertThat(monitor.ends(later)).isEqualTo(0);
    }

    @Test
    void aWholeResponseClearsARequest() {
        RequestKeys unlucky = request("unlucky");
        endUnder(unlucky, 60);
        endUnder(unlucky, 60);
        WatchedAttempt watched = send(newRun(), unlucky);
        watched.recordData(nanos());
        watched.complete(nanos());
        assertThat(monitor.recordComplete(unlucky, VERSION, nanos())).isTrue();
        endUnder(unlucky, 60);
        assertThat(isRejected(unlucky)).isFalse();
        assertThat(monitor.ends(unlucky)).isEqualTo(1);
    }

    @Test
    void requestsThatWereNotInProgressDoNotCount() {
        RequestKeys complete = request("complete");
        RequestKeys unwritten = request("unwritten");
        RequestKeys rejected = request("rejected");
        RequestKeys left = request("left");
        for (int end = 0; end < RequestQuarantine.MAXIMUM_ENDS; end++) {
            EndpointRun run = newRun();
            send(run, left).end(nanos());
            pass(STEP_MILLIS);
            send(run, complete).complete(nanos());
            monitor.begin(run, unwritten, nanos()).end(nanos());
            WatchedAttempt unrun = send(run, rejected);
            unrun.recordNotExecuted();
            unrun.end(nanos());
            crash(run);
        }
        for (RequestKeys keys : List.of(complete, unwritten, rejected, left)) {
            assertThat(monitor.ends(keys)).isEqualTo(0);
        }
    }

    @Test
    void reportsOfSeveralVmsOnOneStartCountOnce() {
        RequestKeys copied = request("copied");
        for (int report = 0; report < RequestQuarantine.MAXIMUM_ENDS; report++) {
            EndpointCrash crash =
                    new EndpointCrash(
                            new EndpointStart("endpoint", 1),
                            POOL,
                            VERSION,
                            nanos(),
                            Map.of(),
                            Set.of(copied.request()));
            monitor.receive("vm" + report, report(crash), nanos());
        }
        assertThat(monitor.ends(copied)).isEqualTo(1);
    }

    /** Another VM reports what it knew before it heard that the request was served. */
    @Test
    void whatWasKnownBeforeAWholeResponseDoesNotCountAgain() {
        RequestKeys served = request("served");
        for (int end = 0; end < RequestQuarantine.MAXIMUM_ENDS; end++) {
            endUnder(served, 60);
        }
        QuarantinedParts known = monitor.quarantines().get(0);
        EndpointCrash crash =
                new EndpointCrash(
                        new EndpointStart("late", 1),
                        POOL,
                        VERSION,
                        nanos(),
                        Map.of(),
                        Set.of(served.request()));
        pass(STEP_MILLIS);
        assertThat(monitor.recordComplete(served, VERSION, nanos())).isTrue();
        assertThat(released).containsExactly(served.request());
        monitor.adopt(known, "vm other", nanos());
        monitor.receive("other", report(crash), nanos());
        assertThat(isRejected(served)).isFalse();
        assertThat(monitor.ends(served)).isEqualTo(0);
    }

    private static PoisonReport report(EndpointCrash crash) {
        return new PoisonReport(List.of(crash), List.of(), Set.of(), Set.of(), List.of());
    }

    @Test
    void aQuarantineEndsAndIsForgotten() {
        RequestKeys bad = request("bad");
        for (int end = 0; end < RequestQuarantine.MAXIMUM_ENDS; end++) {
            endUnder(bad, 60);
        }
        pass(TimeUnit.NANOSECONDS.toMillis(RequestQuarantine.VALID_NANOS));
        assertThat(isRejected(bad)).isFalse();
        pass(TimeUnit.NANOSECONDS.toMillis(RequestQuarantine.VALID_NANOS));
        assertThat(monitor.quarantines()).isEmpty();
    }
}
