package org.bronzelug.core.fairness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A queue of requests that wait for a runner, with fair queueing between teams by work.
 *
 * <p>Each team has a counter of the work served for it; the next request is the oldest of the
 * waiting team with the lowest counter. The virtual time is the highest counter at which a request
 * has been served. A team that was idle continues at the virtual time if its counter is lower, so
 * it earns no credit while idle. Without fair queueing, when one team sends several times its
 * share, the others wait behind its backlog; with it, they wait for at most one of its requests.
 *
 * <p>Invariant: the queue never holds more requests than its capacity. When it is full, a request
 * of another team replaces the newest request of the team with the longest backlog. Not
 * thread-safe: guarded by its owner.
 *
 * @param <T> type of the requests
 */
public final class FairQueue<T> {
    private final int capacity;
    private final Map<String, TeamBacklog<T>> teams = new HashMap<>();
    private double virtualTime;
    private int size;

    public FairQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a request.
     *
     * @param work cost of the request, in the same unit for all teams
     * @return the request that is dropped because the queue is full, which is the offered one if
     *     its own team has the longest backlog; empty if there was room
     */
    public Optional<T> offer(String team, T item, double work) {
        TeamBacklog<T> backlog = teams.computeIfAbsent(team, ignored -> new TeamBacklog<>());
        Optional<T> dropped = Optional.empty();
        if (size >= capacity) {
            TeamBacklog<T> longest = longestBacklog(backlog);
            if (longest == backlog) {
                return Optional.of(item);
            }
            dropped = Optional.of(longest.waiting.removeLast().item);
            size--;
        }
        if (backlog.waiting.isEmpty()) {
            backlog.servedWork = Math.max(backlog.servedWork, virtualTime);
        }
        backlog.waiting.addLast(new Waiting<>(item, work));
        size++;
        return dropped;
    }

    /** Removes and returns the next request in fair order. */
    public Optional<T> poll() {
        return poll(item -> true);
    }

    /** Removes and returns the next request among the teams whose oldest request is servable. */
    public Optional<T> poll(Predicate<T> servable) {
        TeamBacklog<T> next = null;
        for (TeamBacklog<T> backlog : teams.values()) {
            if (backlog.waiting.isEmpty() || !servable.test(backlog.waiting.peekFirst().item)) {
                continue;
            }
            if (next == null || backlog.servedWork < next.servedWork) {
                next = backlog;
            }
        }
        if (next == null) {
            return Optional.empty();
        }
        Waiting<T> first = next.waiting.removeFirst();
        virtualTime = Math.max(virtualTime, next.servedWork);
        next.servedWork += first.work;
        size--;
        removeIdleTeams();
        return Optional.of(first.item);
    }

    /** Removes a request, for example because its deadline has passed. */
    public boolean remove(String team, T item) {
        TeamBacklog<T> backlog = teams.get(team);
        boolean removed =
                backlog != null && backlog.waiting.removeIf(waiting -> waiting.item.equals(item));
        if (removed) {
            size--;
        }
        return removed;
    }

    public int size() {
        return size;
    }

    /** Returns the longest backlog; the given one if no other is longer. */
    private TeamBacklog<T> longestBacklog(TeamBacklog<T> own) {
        TeamBacklog<T> longest = own;
        for (TeamBacklog<T> backlog : teams.values()) {
            if (backlog.waiting.size() > longest.waiting.size()) {
                longest = backlog;
            }
        }
        return longest;
    }

    private void removeIdleTeams() {
        teams.values()
                .removeIf(
                        backlog -> backlog.waiting.isEmpty() && backlog.servedWork <= virtualTime);
    }

    /** One team's waiting requests, and the work served for the team so far. */
    private static final class TeamBacklog<T> {
        private final Deque<Waiting<T>> waiting = new ArrayDeque<>();
        private double servedWork;
    }

    /** A request and its work. */
    private record Waiting<T>(T item, double work) {}
}
