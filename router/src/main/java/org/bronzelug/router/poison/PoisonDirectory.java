package org.bronzelug.router.poison;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.bronzelug.core.poison.EndpointCrash;
import org.bronzelug.core.poison.EndpointRun;
import org.bronzelug.core.poison.Involvement;
import org.bronzelug.core.poison.PartAdmission;
import org.bronzelug.core.poison.PartKey;
import org.bronzelug.core.poison.PoisonMonitor;
import org.bronzelug.core.poison.PoisonReport;
import org.bronzelug.core.poison.QuarantineListener;
import org.bronzelug.core.poison.QuarantinedParts;
import org.bronzelug.core.poison.RequestKeys;
import org.bronzelug.core.poison.WatchedAttempt;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Knows which parts of prompts and which requests crash endpoints, from this VM's own requests and
 * from the reports of the other VMs, and reports to the other VMs what this one has seen.
 *
 * <p>Invariant: what may change the decisions of other VMs is sent to them at once, and again in
 * the next rounds. Confined to the traffic thread.
 */
public final class PoisonDirectory {
    private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time in which reports on a crash arrive from all VMs: several link delays. */
    private static final long REPORT_MILLIS = 20;

    /** Bounds a log line: callers choose how many parts there are. */
    private static final int LOGGED_SUSPECTS = 16;

    private final PoisonMonitor monitor = new PoisonMonitor(new Log(), System.nanoTime());
    private final EventLoop traffic;
    private final Runnable onQuarantined;
    private Peers peers = report -> {};
    private long roundNanos = System.nanoTime();

    /** The other VMs. Called on the traffic thread; must not block. */
    public interface Peers {
        void send(PoisonReport report);
    }

    /**
     * @param onQuarantined called when parts have been put under quarantine
     */
    public PoisonDirectory(EventLoop traffic, Runnable onQuarantined) {
        this.traffic = traffic;
        this.onQuarantined = onQuarantined;
    }

    public void setPeers(Peers fleet) {
        peers = fleet;
    }

    /** Returns whether a request may be sent to an endpoint now. */
    public PartAdmission admit(RequestKeys keys, long nowNanos) {
        return monitor.admit(keys, nowNanos);
    }

    /** Returns whether an admitted request may not be sent after all. */
    public boolean isQuarantined(RequestKeys keys, long nowNanos) {
        return monitor.isQuarantined(keys, nowNanos);
    }

    /** Returns the number of endpoints that have ended under a request, as far as is known. */
    public int ends(RequestKeys keys) {
        return monitor.ends(keys);
    }

    /** Returns whether one of the parts may crash endpoints, as far as crashes have shown. */
    public boolean isAnySuspect(Collection<PartKey> parts) {
        return monitor.isAnySuspect(parts);
    }

    /** Returns whether endpoints of a software version are known to survive all of the parts. */
    public boolean areHarmless(Collection<PartKey> parts, String softwareVersion, long nowNanos) {
        return monitor.areHarmless(parts, softwareVersion, nowNanos);
    }

    /** Records that a request is sent to an endpoint. */
    public WatchedAttempt begin(EndpointRun run, RequestKeys keys, long nowNanos) {
        WatchedAttempt watched = monitor.begin(run, keys, nowNanos);
        recordChange(nowNanos);
        return watched;
    }

    /** Records that an endpoint has responded to a request completely. */
    public void recordComplete(RequestKeys keys, String softwareVersion) {
        long nowNanos = System.nanoTime();
        if (monitor.recordComplete(keys, softwareVersion, nowNanos)) {
            monitor.urgentReport(nowNanos).ifPresent(peers::send);
        }
    }

    /** Reports a request that has begun or ended to the other VMs, if they may wait for it. */
    public void recordChange(long nowNanos) {
        if (monitor.hasSuspects()) {
            monitor.urgentReport(nowNanos).ifPresent(peers::send);
        }
    }

    /**
     * Records that an endpoint has crashed.
     *
     * @param lostNanos when a connection to it was lost; empty if none was
     */
    public void recordCrash(EndpointRun run, OptionalLong lostNanos, long nowNanos) {
        EndpointCrash crash = monitor.recordCrash(run, lostNanos, nowNanos);
        EventLog.info(
                LogEvent.ENDPOINT_CRASHED,
                ("endpoint=" + crash.start().id())
                        + (" bornMillis=" + crash.start().bornMillis())
                        + (" softwareVersion=" + crash.softwareVersion())
                        + (" ageMillis="
                                + TimeUnit.NANOSECONDS.toMillis(nowNanos - crash.atNanos()))
                        + describe(crash)
                        + (" requests=" + describe(crash.requests())));
        monitor.urgentReport(nowNanos).ifPresent(peers::send);
        evaluateSoon();
    }

    /** Evaluates the crashes once all VMs with requests at the endpoint have reported. */
    private void evaluateSoon() {
        traffic.schedule(this::evaluate, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void evaluate() {
        long nowNanos = System.nanoTime();
        monitor.evaluate(nowNanos);
        monitor.urgentReport(nowNanos).ifPresent(peers::send);
    }

    private static List<String> describe(Set<PartKey> requests) {
        return requests.stream().limit(LOGGED_SUSPECTS).map(PartKey::id).toList();
    }

    private static String describe(EndpointCrash crash) {
        StringBuilder text = new StringBuilder();
        for (Involvement involvement : Involvement.values()) {
            List<String> parts =
                    crash.suspects().entrySet().stream()
                            .filter(suspect -> suspect.getValue() == involvement)
                            .limit(LOGGED_SUSPECTS)
                            .map(suspect -> suspect.getKey().id())
                            .toList();
            text.append(' ').append(involvement.name()).append('=').append(parts);
        }
        return text.toString();
    }

    /**
     * Looks for parts that endpoints have survived, and reports to the other VMs what was new in
     * the last rounds. Calls that follow each other closely have no effect.
     *
     * @param endpoints the pool of each endpoint
     */
    public void round(List<String> endpoints) {
        long nowNanos = System.nanoTime();
        if (nowNanos - roundNanos < ROUND_NANOS) {
            return;
        }
        roundNanos = nowNanos;
        Map<String, Integer> counts = new HashMap<>();
        endpoints.forEach(pool -> counts.merge(pool, 1, Integer::sum));
        monitor.setEndpoints(counts);
        monitor.sweep(nowNanos);
        monitor.roundReport(nowNanos).ifPresent(peers::send);
    }

    /** Applies the report of another VM. */
    public void receive(String vm, PoisonReport report) {
        long nowNanos = System.nanoTime();
        monitor.receive(vm, report, nowNanos);
        if (!report.crashes().isEmpty()) {
            monitor.urgentReport(nowNanos).ifPresent(peers::send);
            evaluateSoon();
        }
    }

    /** Adopts quarantines that are known elsewhere. */
    public void adopt(List<QuarantinedParts> quarantines, String source) {
        long nowNanos = System.nanoTime();
        quarantines.forEach(known -> monitor.adopt(known, source, nowNanos));
    }

    /** Returns the parts under quarantine. */
    public List<QuarantinedParts> quarantines() {
        return monitor.quarantines();
    }

    /** Logs what has been inferred, and has the requests in progress follow it. */
    private final class Log implements QuarantineListener {
        @Override
        public void onQuarantined(QuarantinedParts parts, String source) {
            EventLog.warn(
                    LogEvent.PARTS_QUARANTINED, describe(parts) + " source=\"" + source + "\"");
            onQuarantined.run();
        }

        @Override
        public void onReleased(QuarantinedParts before, PartKey survived) {
            EventLog.info(LogEvent.PARTS_RELEASED, describe(before) + " survived=" + survived);
            onQuarantined.run();
        }

        private String describe(QuarantinedParts quarantined) {
            long nowNanos = System.nanoTime();
            return "parts="
                    + quarantined.parts().stream()
                            .map(PartKey::toString)
                            .collect(Collectors.joining(","))
                    + (" softwareVersions=" + quarantined.softwareVersions())
                    + (" ageMillis="
                            + TimeUnit.NANOSECONDS.toMillis(nowNanos - quarantined.sinceNanos()))
                    + (" remainingMillis="
                            + TimeUnit.NANOSECONDS.toMillis(quarantined.untilNanos() - nowNanos))
                    + (" times=" + quarantined.times())
                    + (" confirmed=" + quarantined.confirmed());
        }
    }
}
