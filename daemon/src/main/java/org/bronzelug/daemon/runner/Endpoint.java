package org.bronzelug.daemon.runner;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import org.bronzelug.core.placement.LoadEstimate;
import org.bronzelug.core.placement.RunnerLoad;

/**
 * One endpoint as this VM sees it.
 *
 * <p>Thread-safe. Invariant: {@code inFlight} and the queued tokens of this VM's own requests are
 * raised and lowered once for each request.
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

    /** Whether it answered lately. */
    public boolean isLive() {
        return live;
    }

    /** Whether it must get no new work. */
    public boolean isLeaving() {
        return leaving;
    }

    void setLeaving(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    public EndpointReport report() {
        return report;
    }

    /** Takes in a report; whether the endpoint came back as another incarnation. */
    synchronized boolean update(EndpointReport next) {
        boolean replaced =
                !report.incarnation().isEmpty() && !report.incarnation().equals(next.incarnation());
        report = next;
        estimate.report(next.queuedPrefillTokens(), next.running());
        live = true;
        return replaced;
    }

    /** Marks it dead and breaks off the calls to it, so that their requests move at once. */
    void markDown() {
        live = false;
        calls.forEach(Call::cancel);
    }

    /** Counts a request in. */
    public synchronized void begin(int queuedTokens) {
        estimate.begin(queuedTokens);
    }

    /** Notes that a request's prefill is done. */
    public synchronized void prefilled(int queuedTokens) {
        estimate.prefilled(queuedTokens);
    }

    /** Counts a request out. */
    public synchronized void end() {
        estimate.end();
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

    /** The load for a placement. */
    public synchronized RunnerLoad load() {
        return estimate.load(name, report.incarnation());
    }
}
