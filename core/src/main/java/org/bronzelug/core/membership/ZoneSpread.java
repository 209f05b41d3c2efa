package org.bronzelug.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders VMs for a key so that the first ones are in different availability zones. All VMs that
 * know the same ones order them alike. Stateless and thread-safe.
 */
public final class ZoneSpread {
    private ZoneSpread() {}

    /**
     * Returns the VMs in the order of their rendezvous weights, taken from one zone after the
     * other.
     *
     * @param zones the availability zone of each VM
     */
    public static List<String> order(String key, Map<String, String> zones) {
        Map<String, Deque<String>> byZone = new LinkedHashMap<>();
        for (String vm : Rendezvous.order(key, zones.keySet())) {
            byZone.computeIfAbsent(zones.get(vm), zone -> new ArrayDeque<>()).add(vm);
        }
        List<String> order = new ArrayList<>();
        while (order.size() < zones.size()) {
            takeOneOfEach(byZone.values(), order);
        }
        return order;
    }

    private static void takeOneOfEach(Collection<Deque<String>> zones, List<String> order) {
        for (Deque<String> zone : zones) {
            if (!zone.isEmpty()) {
                order.add(zone.poll());
            }
        }
    }
}
