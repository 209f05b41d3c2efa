package org.bronzelug.core.poison;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Items for the reports to the other VMs. Each is in the reports of several rounds, since datagrams
 * get lost; an urgent item is also in the next report before the round. Not thread-safe.
 */
final class ReportQueue<T> {
    private static final int ROUNDS = 3;

    private final Map<T, Integer> roundsLeft = new LinkedHashMap<>();
    private final List<T> urgent = new ArrayList<>();

    /** Adds an item that must not wait for the next round. */
    void addUrgent(T item) {
        urgent.add(item);
        add(item);
    }

    /** Adds an item for the next rounds. */
    void add(T item) {
        roundsLeft.put(item, ROUNDS);
    }

    void remove(T item) {
        roundsLeft.remove(item);
        urgent.remove(item);
    }

    /** Returns the urgent items that no report has contained yet. */
    List<T> takeUrgent() {
        List<T> taken = List.copyOf(urgent);
        urgent.clear();
        return taken;
    }

    /** Returns the items of this round. */
    List<T> takeRound() {
        urgent.clear();
        List<T> round = List.copyOf(roundsLeft.keySet());
        roundsLeft.replaceAll((item, rounds) -> rounds - 1);
        roundsLeft.values().removeIf(rounds -> rounds == 0);
        return round;
    }
}
