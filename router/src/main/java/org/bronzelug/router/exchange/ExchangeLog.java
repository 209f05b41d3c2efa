package org.bronzelug.router.exchange;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.placement.PromptPart;
import org.bronzelug.core.poison.PartKey;
import org.bronzelug.core.routing.Team;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.endpoint.ConnectionUse;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;

/** Writes the log lines of one admitted request. Confined to the traffic thread. */
final class ExchangeLog {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Bounds a line: callers choose how many parts there are, and their ids. */
    private static final int LOGGED_PARTS = 8;

    private static final int LOGGED_PART_CHARACTERS = 24;

    private final AdmittedRequest admitted;
    private final PartGate gate;
    private ConnectionUse connection = ConnectionUse.NONE;

    ExchangeLog(AdmittedRequest admitted, PartGate gate) {
        this.admitted = admitted;
        this.gate = gate;
    }

    /**
     * Logs that the request is sent to an endpoint.
     *
     * @param runner the choice of the runner; empty for requests without a prompt
     * @param limited endpoints that were skipped because of their limits
     */
    void sent(EndpointState endpoint, Optional<RunnerChoice> runner, Set<EndpointState> limited) {
        connection = ConnectionUse.NONE;
        long nowNanos = System.nanoTime();
        EventLog.info(
                LogEvent.REQUEST_SENT,
                request()
                        + (" endpoint=" + endpoint.entry().id())
                        + (" softwareVersion=" + endpoint.entry().softwareVersion())
                        + resumption()
                        + sharedParts()
                        + ends()
                        + (" requests=" + endpoint.ownRequests())
                        + ("+" + endpoint.peerRequests())
                        + runner.map(RunnerChoice::describe).orElse("")
                        + limit(endpoint, nowNanos)
                        + (limited.isEmpty() ? "" : " limited=" + ids(limited)));
    }

    private String ends() {
        int ends = gate.ends();
        return ends == 0 ? "" : " endsBefore=" + ends;
    }

    /** Records on which connection the request was written, for the lines that follow. */
    void written(ConnectionUse use) {
        connection = use;
    }

    private static String limit(EndpointState endpoint, long nowNanos) {
        return endpoint.limit()
                .filter(EndpointLimit::isAdvertised)
                .map(limit -> " limit=" + limit.limit() + " level=" + limit.level(nowNanos))
                .orElse("");
    }

    private static List<String> ids(Set<EndpointState> endpoints) {
        return endpoints.stream().map(endpoint -> endpoint.entry().id()).toList();
    }

    /** Logs that the request waits for the outcome of another one with a part of its prompt. */
    void held(PartKey part) {
        EventLog.info(
                LogEvent.REQUEST_HELD,
                request()
                        + (" part=" + shortened(part.id()))
                        + (" millis=" + millisTo(System.nanoTime())));
    }

    /** Logs that the request waits for an endpoint that accepts it. */
    void waiting(String reason) {
        EventLog.info(
                LogEvent.REQUEST_WAITING,
                request() + waitReason(reason) + (" millis=" + millisTo(System.nanoTime())));
    }

    /** Logs that the request no longer waits. */
    void waitEnded(String outcome, long sinceNanos) {
        long nowNanos = System.nanoTime();
        EventLog.info(
                LogEvent.REQUEST_WAIT_ENDED,
                request()
                        + (" outcome=\"" + outcome + "\"")
                        + (" waitedMillis=" + (nowNanos - sinceNanos) / NANOS_PER_MILLI)
                        + (" millis=" + millisTo(nowNanos)));
    }

    /** Logs that the request does not wait, or no longer, and is rejected. */
    void waitRefused(String reason, String cause) {
        EventLog.info(
                LogEvent.REQUEST_WAIT_REFUSED,
                request()
                        + waitReason(reason)
                        + (" cause=" + cause)
                        + (" millis=" + millisTo(System.nanoTime())));
    }

    private String waitReason(String reason) {
        return (" team=" + admitted.team().map(Team::name).orElse("-"))
                + (" reason=\"" + reason + "\"");
    }

    /**
     * Logs that the request leaves an endpoint.
     *
     * @param sends how often the request was sent so far
     */
    void moved(EndpointState endpoint, int sends, String cause) {
        EventLog.info(
                LogEvent.REQUEST_MOVED,
                request()
                        + (" endpoint=" + endpoint.entry().id())
                        + (" cause=\"" + cause + "\"")
                        + (" connection=" + connection)
                        + (" sends=" + sends));
    }

    /** Logs that a begun stream stays at its endpoint, since the other one did not take it over. */
    void stayed(EndpointState target, String reason) {
        EventLog.info(
                LogEvent.STREAM_STAYED,
                request() + (" endpoint=" + target.entry().id()) + (" reason=\"" + reason + "\""));
    }

    /** Logs that a stream is to be resumed after its last whole event. */
    void streamMoved(String cause) {
        EventLog.info(LogEvent.STREAM_MOVED, request() + " cause=\"" + cause + "\"");
    }

    /**
     * Logs that a begun stream has no runner now and is to be resumed later.
     *
     * @param tried endpoints tried since the last delay
     */
    void resumptionDelayed(String reason, Set<String> tried) {
        EventLog.info(
                LogEvent.STREAM_RESUMPTION_DELAYED,
                request()
                        + (" reason=\"" + reason + "\"")
                        + (" tried=" + tried)
                        + (" millis=" + millisTo(System.nanoTime())));
    }

    /**
     * Logs the end of the request.
     *
     * @param responseEnd how the end of the last endpoint's response was marked
     * @param streamVersion the software version that the stream is bound to
     * @param start when and on which weights the response began
     */
    void ended(
            String outcome,
            String reason,
            Set<String> tried,
            Optional<RunnerChoice> runner,
            String responseEnd,
            Optional<String> streamVersion,
            ResponseStart start) {
        EventLog.info(
                LogEvent.REQUEST_ENDED,
                request()
                        + (" outcome=" + outcome)
                        + (" reason=\"" + reason + "\"")
                        + (" route=" + admitted.route().name())
                        + (" team=" + admitted.team().map(Team::name).orElse("-"))
                        + (" tokens=" + admitted.tokens())
                        + (" tried=" + tried)
                        + (" connection=" + connection)
                        + (" " + responseEnd)
                        + streamVersion.map(version -> " streamVersion=" + version).orElse("")
                        + (" configuration=" + admitted.configurationVersion())
                        + (" weights=" + runner.map(RunnerChoice::weightsVersion).orElse(0L))
                        + start.describe()
                        + (" millis=" + millisTo(System.nanoTime())));
    }

    /** Names the first parts of the prompt, without the last one, which no other caller shares. */
    private String sharedParts() {
        return admitted.head().prompt().map(PromptSpec::sharedParts).stream()
                .filter(parts -> !parts.isEmpty())
                .map(
                        parts ->
                                parts.stream()
                                        .limit(LOGGED_PARTS)
                                        .map(PromptPart::id)
                                        .map(ExchangeLog::shortened)
                                        .collect(Collectors.joining(",", " parts=", "")))
                .findFirst()
                .orElse("");
    }

    private static String shortened(String id) {
        return id.substring(0, Math.min(id.length(), LOGGED_PART_CHARACTERS));
    }

    /** Names the stream that the caller resumes, if it resumes one. */
    private String resumption() {
        return admitted.head()
                .lastEventId()
                .map(
                        id ->
                                (" after=" + id)
                                        + (" resumes="
                                                + admitted.head().resumedRequest().orElse("-")))
                .orElse("");
    }

    private String request() {
        return "request=" + admitted.head().id();
    }

    private long millisTo(long nanos) {
        return (nanos - admitted.arrivedNanos()) / NANOS_PER_MILLI;
    }
}
