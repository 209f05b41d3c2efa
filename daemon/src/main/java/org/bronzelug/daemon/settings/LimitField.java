package org.bronzelug.daemon.settings;

/** The fields of {@code limits}, with their range and default value. Immutable. */
public enum LimitField {
    FRESHNESS_MILLIS("freshnessMillis", 200, 10_000, 2_000),
    PROBE_MILLIS("probeMillis", 20, 2_000, 200),
    REQUEST_DEADLINE_MILLIS("requestDeadlineMillis", 100, 600_000, 30_000),
    RUNNER_SILENCE_MILLIS("runnerSilenceMillis", 50, 60_000, 1_500),
    DRAIN_MILLIS("drainMillis", 0, 600_000, 30_000),
    STEER_MILLIS("steerMillis", 0, 30_000, 500),
    STREAMS_PER_RUNNER("streamsPerRunner", 1, 10_000, 64),
    WAITING_REQUESTS("waitingRequests", 1, 1_000_000, 2_000),
    MAXIMUM_REQUEST_BYTES("maximumRequestBytes", 1_024, 67_108_864, 4_194_304),
    MAXIMUM_PEER_FRAME_BYTES("maximumPeerFrameBytes", 65_536, 67_108_864, 8_388_608);

    private final String fieldName;
    private final long minimum;
    private final long maximum;
    private final long defaultValue;

    LimitField(String fieldName, long minimum, long maximum, long defaultValue) {
        this.fieldName = fieldName;
        this.minimum = minimum;
        this.maximum = maximum;
        this.defaultValue = defaultValue;
    }

    public String fieldName() {
        return fieldName;
    }

    public long minimum() {
        return minimum;
    }

    public long maximum() {
        return maximum;
    }

    /** Returns the value that applies if the settings do not contain the field. */
    public long defaultValue() {
        return defaultValue;
    }
}
