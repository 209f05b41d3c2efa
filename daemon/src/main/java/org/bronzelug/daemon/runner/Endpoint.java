package org.bronzelug.daemon.runner;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import org.bronzelug.core.placement.LoadEstimate;
import org.bronzelug.core.placement.RunnerLoad;

/**
 * One endpoint: its last reported state, and this VM's own load on it.
 *
 * <p>Thread-safe. Invariant: each request of this VM raises and lowers {@code inFlight} and the
 * queued tokens exactly once.
 */
public final class Endpoint {
    private final String name;
    private final String pool;
    private final String url;
    private final Set<Call> calls = ConcurrentHashMap.newKeySet();
    private final LoadEstimate estimate = new LoadEstimate();
    private final AtomicLong served = new AtomicLong();
    private volatile EndpointReport report = EndpointReport.unknown();
    private volatile boolean live;
    private volatile boolean leaving;

    public Endpoint(String name, String pool, String url) {
        this.name = name;
        this.pool = pool;
        this.url = url;
    }

    public String name() {
        return name;
    }

    public String pool() {
        return pool;
    }

    public String url() {
        return url;
    }

    /**
     * Returns whether the endpoint is up: its last poll succeeded, or a response has carried a
     * report since.
     */
    public boolean isLive() {
        return live;
    }

    /**
     * Returns whether the configuration marks the endpoint as leaving, so it gets no new request.
     */
    public boolean isLeaving() {
        return leaving;
    }

    void setLeaving(boolean isNowLeaving) {
        leaving = isNowLeaving;
    }

    public EndpointReport report() {
        return report;
    }

    /**
     * Records a report and marks the endpoint live.
     *
     * @return whether the endpoint has restarted, that is, reports another incarnation than before
     */
    synchronized boolean update(EndpointReport newReport) {
        boolean restarted =
                !report.incarnation().isEmpty()
                        && !report.incarnation().equals(newReport.incarnation());
        report = newReport;
        estimate.recordReport(newReport.queuedPrefillTokens(), newReport.running());
        live = true;
        return restarted;
    }

    /** Marks the endpoint down and cancels the calls to it, so that their requests move at once. */
    void markDown() {
        live = false;
        calls.forEach(Call::cancel);
    }

    /**
     * Records that a request was sent.
     *
     * @param queuedTokens prompt tokens that the endpoint must prefill for it
     */
    public synchronized void recordSent(int queuedTokens) {
        estimate.recordSent(queuedTokens);
    }

    /**
     * Records that the prefill of a request is done; takes the same tokens as {@link #recordSent}.
     */
    public synchronized void recordPrefilled(int queuedTokens) {
        estimate.recordPrefilled(queuedTokens);
    }

    /** Records that a request has ended. */
    public synchronized void recordEnded() {
        estimate.recordEnded();
        served.incrementAndGet();
    }

    public synchronized int inFlight() {
        return estimate.ownStreams();
    }

    public long served() {
        return served.get();
    }

    void register(Call call) {
        calls.add(call);
    }

    void unregister(Call call) {
        calls.remove(call);
    }

    /** Returns the estimated load, for placement decisions. */
    public synchronized RunnerLoad load() {
        return estimate.load(name, report.incarnation());
    }
}
