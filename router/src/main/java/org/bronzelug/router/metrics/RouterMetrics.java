package org.bronzelug.router.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformReservoir;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Counters, latency histograms and gauges of the router. No key becomes part of a metric's name.
 * Thread-safe.
 */
public final class RouterMetrics {
    private static final int SAMPLES = 512;
    private static final long NANOS_PER_MICRO = 1_000;

    private final MetricRegistry registry = new MetricRegistry();
    private final Counter arrived = registry.counter("requests_arrived");
    private final Counter overRate = registry.counter("requests_over_rate");
    private final Histogram routingTimes = histogram("routing_micros");
    private final Histogram requestTimes = histogram("request_millis");
    private final Histogram replacedWeights = histogram("begins_on_replaced_weights_millis");
    private final Counter beyondWeightsBound = registry.counter("begins_beyond_weights_bound");

    private Histogram histogram(String name) {
        return registry.register(name, new Histogram(new UniformReservoir(SAMPLES)));
    }

    public void arrived() {
        arrived.inc();
    }

    public void rejectedOverRate() {
        overRate.inc();
    }

    /** Counts a request that was rejected and has not run. */
    public void rejected(int status) {
        registry.counter("requests_refused_" + status).inc();
    }

    /** Counts a request that was abandoned although it may have run. */
    public void failed(int status) {
        registry.counter("requests_failed_" + status).inc();
    }

    /**
     * Records the time from a request's arrival until it is passed to an endpoint's connections.
     */
    public void routed(long nanos) {
        routingTimes.update(nanos / NANOS_PER_MICRO);
    }

    /** Records the time from a request's arrival to the last byte of its response. */
    public void finished(long millis) {
        requestTimes.update(millis);
    }

    /**
     * Records the first data of a response that was generated on replaced weights.
     *
     * @param millis how long the weights had been replaced, as far as this VM knew
     * @param beyondBound whether requests may no longer begin on them
     */
    public void begunOnReplacedWeights(long millis, boolean beyondBound) {
        replacedWeights.update(millis);
        if (beyondBound) {
            beyondWeightsBound.inc();
        }
    }

    /** Increments a counter of the control plane. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Registers a gauge, whose value is read each time the metrics are read. */
    public void gauge(String name, Supplier<Number> value) {
        registry.register(name, (Gauge<Number>) value::get);
    }

    /** Returns all metrics as lines of name and value. */
    public String text() {
        Map<String, Object> lines = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> lines.put(name, counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> lines.put(name, gauge.getValue()));
        registry.getHistograms().forEach((name, histogram) -> addHistogram(lines, name, histogram));
        StringBuilder text = new StringBuilder();
        lines.forEach((name, value) -> text.append(name).append(' ').append(value).append('\n'));
        return text.toString();
    }

    private static void addHistogram(Map<String, Object> lines, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        lines.put(name + "_count", ((Counting) histogram).getCount());
        lines.put(name + "_p50", snapshot.getMedian());
        lines.put(name + "_p95", snapshot.get95thPercentile());
        lines.put(name + "_p99", snapshot.get99thPercentile());
        lines.put(name + "_max", snapshot.getMax());
    }
}
