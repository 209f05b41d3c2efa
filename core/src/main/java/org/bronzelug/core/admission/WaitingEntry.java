package org.bronzelug.core.admission;

/**
 * A request that waits for an endpoint. Entries are compared by identity. Not thread-safe: confined
 * to the thread of its queue.
 *
 * @param <T> type of the requests
 */
public final class WaitingEntry<T> {
    private final T item;
    private final String team;
    private final int urgency;
    private final long work;
    private final long bytes;
    private final long limitNanos;
    private long notBeforeNanos;

    /**
     * @param urgency 0 is the most urgent
     * @param work tokens of the request, at least 1
     * @param bytes memory that the request takes while it waits
     * @param limitNanos the time by which the request has to be expected to begin
     * @param notBeforeNanos the time before which no endpoint is expected to accept the request
     */
    public WaitingEntry(
            T item,
            String team,
            int urgency,
            long work,
            long bytes,
            long limitNanos,
            long notBeforeNanos) {
        this.item = item;
        this.team = team;
        this.urgency = urgency;
        this.work = work;
        this.bytes = bytes;
        this.limitNanos = limitNanos;
        this.notBeforeNanos = notBeforeNanos;
    }

    public T item() {
        return item;
    }

    public String team() {
        return team;
    }

    public int urgency() {
        return urgency;
    }

    public long work() {
        return work;
    }

    long bytes() {
        return bytes;
    }

    long limitNanos() {
        return limitNanos;
    }

    long notBeforeNanos() {
        return notBeforeNanos;
    }

    /** Records when an endpoint may accept the request, as the last attempt to send it found. */
    public void setNotBefore(long nanos) {
        notBeforeNanos = nanos;
    }
}
