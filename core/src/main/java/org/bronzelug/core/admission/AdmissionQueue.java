package org.bronzelug.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The requests of one pool that wait for an endpoint, in the order in which they are to be sent: by
 * urgency, then by deficit round robin between teams in tokens, then by arrival.
 *
 * <p>In each round, a team may send {@link #QUANTUM} tokens more. A team that sends several times
 * its share waits behind its own requests; another team waits for at most one round of the others.
 *
 * <p>Invariant: the queue takes no more of the shared {@link AdmissionCapacity} than there is. When
 * it is exceeded, the newest request of the team with the most waiting tokens is dropped, which may
 * be the offered one. A team without waiting requests keeps no credit. Not thread-safe: guarded by
 * its owner.
 *
 * @param <T> type of the requests
 */
public final class AdmissionQueue<T> {
    /** Tokens that a team may send in each round; about one short prompt. */
    public static final long QUANTUM = 1_024;

    private final AdmissionCapacity capacity;
    private final TreeMap<Integer, Level<T>> levels = new TreeMap<>();
    private int size;

    public AdmissionQueue(AdmissionCapacity capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a request.
     *
     * @return the requests that are dropped because there is no room; the offered one may be among
     *     them
     */
    public List<WaitingEntry<T>> offer(WaitingEntry<T> entry) {
        List<WaitingEntry<T>> dropped = new ArrayList<>();
        while (!capacity.tryTake(entry.bytes())) {
            Optional<WaitingEntry<T>> newest = newestOfLargestTeam(entry);
            if (newest.isEmpty()) {
                dropped.add(entry);
                return dropped;
            }
            remove(newest.get());
            dropped.add(newest.get());
        }
        Level<T> level = levels.computeIfAbsent(entry.urgency(), urgency -> new Level<>());
        level.team(entry.team()).waiting.addLast(entry);
        size++;
        return dropped;
    }

    /** Returns the request to drop for the offered one; empty if that one is to be dropped. */
    private Optional<WaitingEntry<T>> newestOfLargestTeam(WaitingEntry<T> offered) {
        Map<String, Long> work = new HashMap<>();
        entries().forEach(entry -> work.merge(entry.team(), entry.work(), Long::sum));
        long own = work.merge(offered.team(), offered.work(), Long::sum);
        return work.entrySet().stream()
                .filter(team -> team.getValue() > own)
                .max(Map.Entry.comparingByValue())
                .flatMap(team -> newest(team.getKey()));
    }

    /** Returns the newest of a team's least urgent requests. */
    private Optional<WaitingEntry<T>> newest(String team) {
        return levels.descendingMap().values().stream()
                .flatMap(level -> level.ring.stream())
                .filter(queue -> queue.name.equals(team))
                .map(queue -> queue.waiting.peekLast())
                .findFirst();
    }

    /**
     * Returns the next request in order, among the eligible ones; empty if there is none. It stays
     * in the queue until {@link #take} or {@link #remove}.
     */
    public Optional<WaitingEntry<T>> next(Predicate<WaitingEntry<T>> eligible) {
        for (Level<T> level : levels.values()) {
            Optional<WaitingEntry<T>> next = level.next(eligible);
            if (next.isPresent()) {
                return next;
            }
        }
        return Optional.empty();
    }

    /** Removes a request that is sent, and charges its tokens to its team. */
    public void take(WaitingEntry<T> entry) {
        Level<T> level = levels.get(entry.urgency());
        if (level != null && level.contains(entry)) {
            level.team(entry.team()).deficit -= entry.work();
            remove(entry);
        }
    }

    /**
     * Removes a request that is not to be sent any more.
     *
     * @return whether it was waiting
     */
    public boolean remove(WaitingEntry<T> entry) {
        Level<T> level = levels.get(entry.urgency());
        if (level == null || !level.remove(entry)) {
            return false;
        }
        if (level.ring.isEmpty()) {
            levels.remove(entry.urgency());
        }
        capacity.release(entry.bytes());
        size--;
        return true;
    }

    /**
     * Returns the tokens that are sent until the request is, including its own: all of the more
     * urgent ones, its own team's earlier ones, and at most as many of each other team.
     */
    public long workThrough(WaitingEntry<T> entry) {
        long work = 0;
        for (Level<T> level : levels.headMap(entry.urgency()).values()) {
            work += level.ring.stream().mapToLong(team -> team.workThrough(entry)).sum();
        }
        Level<T> own = levels.get(entry.urgency());
        long ofTeam =
                own == null ? 0 : own.find(entry.team()).map(t -> t.workThrough(entry)).orElse(0L);
        if (own == null || !own.contains(entry)) {
            ofTeam += entry.work();
        }
        work += ofTeam;
        if (own != null) {
            for (TeamQueue<T> team : own.ring) {
                if (!team.name.equals(entry.team())) {
                    work += Math.min(ofTeam, team.workThrough(entry));
                }
            }
        }
        return work;
    }

    /** Returns whether a request of the team waits that is at least as urgent. */
    public boolean hasWaiting(String team, int urgency) {
        return levels.headMap(urgency, true).values().stream()
                .anyMatch(level -> level.find(team).isPresent());
    }

    /** Returns all waiting requests, in no particular order between teams. */
    public List<WaitingEntry<T>> entries() {
        return levels.values().stream()
                .flatMap(level -> level.ring.stream())
                .flatMap(team -> team.waiting.stream())
                .toList();
    }

    public int size() {
        return size;
    }

    /** The waiting requests of one urgency, by team, in the order of the rounds. */
    private static final class Level<T> {
        private final Deque<TeamQueue<T>> ring = new ArrayDeque<>();

        private Optional<TeamQueue<T>> find(String name) {
            return ring.stream().filter(team -> team.name.equals(name)).findFirst();
        }

        private TeamQueue<T> team(String name) {
            return find(name)
                    .orElseGet(
                            () -> {
                                TeamQueue<T> added = new TeamQueue<>(name);
                                ring.addLast(added);
                                return added;
                            });
        }

        private boolean contains(WaitingEntry<T> entry) {
            return find(entry.team()).filter(team -> team.waiting.contains(entry)).isPresent();
        }

        private Optional<WaitingEntry<T>> next(Predicate<WaitingEntry<T>> eligible) {
            if (ring.stream().noneMatch(team -> team.first(eligible).isPresent())) {
                return Optional.empty();
            }
            while (true) {
                TeamQueue<T> team = ring.peekFirst();
                Optional<WaitingEntry<T>> first = team.first(eligible);
                if (first.isPresent() && team.deficit >= first.get().work()) {
                    return first;
                }
                if (first.isPresent()) {
                    team.deficit += QUANTUM;
                }
                ring.addLast(ring.removeFirst());
            }
        }

        private boolean remove(WaitingEntry<T> entry) {
            Optional<TeamQueue<T>> team = find(entry.team());
            boolean removed = team.isPresent() && team.get().waiting.remove(entry);
            if (removed && team.get().waiting.isEmpty()) {
                ring.remove(team.get());
            }
            return removed;
        }
    }

    /** One team's waiting requests of one urgency, in the order of their arrival. */
    private static final class TeamQueue<T> {
        private final String name;
        private final Deque<WaitingEntry<T>> waiting = new ArrayDeque<>();
        private long deficit;

        private TeamQueue(String name) {
            this.name = name;
        }

        private Optional<WaitingEntry<T>> first(Predicate<WaitingEntry<T>> eligible) {
            return waiting.stream().filter(eligible).findFirst();
        }

        /** Returns the tokens of the requests up to the given one; of all, if it is not here. */
        private long workThrough(WaitingEntry<T> last) {
            long work = 0;
            for (WaitingEntry<T> entry : waiting) {
                work += entry.work();
                if (entry == last) {
                    break;
                }
            }
            return work;
        }
    }
}
