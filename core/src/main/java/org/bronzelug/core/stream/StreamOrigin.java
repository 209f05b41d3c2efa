package org.bronzelug.core.stream;

/**
 * Where a stream began. Immutable.
 *
 * @param key identifies the stream
 * @param pool the pool of the endpoint that generated the first event
 * @param softwareVersion the software version of that endpoint
 * @param untilNanos when the caller of the stream gives up, by the local monotonic clock
 */
public record StreamOrigin(StreamKey key, String pool, String softwareVersion, long untilNanos) {}
