package org.bronzelug.core.fairness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Requests that wait for a runner, served fairly between teams by the work they bring.
 *
 * <p>Each team has a counter of the work served for it; the waiting team with the least goes next.
 * A team that comes back from idleness starts at the least counter of those who wait, so idleness
 * earns no credit. The failure this guards against: one team sends several times its share, and the
 * others wait behind its backlog; here they wait for one of its requests at most.
 *
 * <p>Invariant: never more than the capacity waits. A full queue gives up a request of the team
 * with the longest backlog, its newest, for one of another team. Not thread-safe: guarded by its
 * owner.
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {
    private final int capacity;
    private final Map<String, TeamBacklog<T>> teams = new HashMap<>();
    private double floor;
    private int size;

    public FairQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a request.
     *
     * @return the request that the full queue gives up for it, which is the offered one itself
     *     where its own team has the longest backlog; empty where there was room
     */
    public Optional<T> offer(String team, T item, double work) {
        TeamBacklog<T> backlog = teams.computeIfAbsent(team, ignored -> new TeamBacklog<>());
        Optional<T> givenUp = Optional.empty();
        if (size >= capacity) {
            TeamBacklog<T> longest = longestBacklog(backlog);
            if (longest == backlog) {
                return Optional.of(item);
            }
            givenUp = Optional.of(longest.waiting.removeLast().item);
            size--;
        }
        if (backlog.waiting.isEmpty()) {
            backlog.served = Math.max(backlog.served, floor);
        }
        backlog.waiting.addLast(new Waiting<>(item, work));
        size++;
        return givenUp;
    }

    /** Takes the next request in fair order. */
    public Optional<T> poll() {
        return poll(item -> true);
    }

    /** Takes the next request in fair order among the teams whose first one can be served now. */
    public Optional<T> poll(Predicate<T> servable) {
        TeamBacklog<T> next = null;
        for (TeamBacklog<T> backlog : teams.values()) {
            if (backlog.waiting.isEmpty() || !servable.test(backlog.waiting.peekFirst().item)) {
                continue;
            }
            if (next == null || backlog.served < next.served) {
                next = backlog;
            }
        }
        if (next == null) {
            return Optional.empty();
        }
        Waiting<T> first = next.waiting.removeFirst();
        floor = Math.max(floor, next.served);
        next.served += first.work;
        size--;
        forgetIdle();
        return Optional.of(first.item);
    }

    /** Takes a request out, for example since its deadline passed. */
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

    /** The team with the longest backlog; the one given where none has a longer one. */
    private TeamBacklog<T> longestBacklog(TeamBacklog<T> own) {
        TeamBacklog<T> longest = own;
        for (TeamBacklog<T> backlog : teams.values()) {
            if (backlog.waiting.size() > longest.waiting.size()) {
                longest = backlog;
            }
        }
        return longest;
    }

    private void forgetIdle() {
        teams.values().removeIf(backlog -> backlog.waiting.isEmpty() && backlog.served <= floor);
    }

    /** One team's requests, and the work served for it so far. */
    private static final class TeamBacklog<T> {
        private final Deque<Waiting<T>> waiting = new ArrayDeque<>();
        private double served;
    }

    /** A request and its work. */
    private record Waiting<T>(T item, double work) {}
}
