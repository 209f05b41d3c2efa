package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against records whose holders are all lost with one availability zone. */
class ZoneSpreadTest {
    private static Map<String, String> fleet(int vms, int zones) {
        Map<String, String> fleet = new HashMap<>();
        for (int vm = 0; vm < vms; vm++) {
            fleet.put("vm-" + vm, "zone-" + vm % zones);
        }
        return fleet;
    }

    @Property(seed = "42")
    void theFirstVmsAreInDifferentZones(
            @ForAll String key,
            @ForAll @IntRange(min = 1, max = 60) int vms,
            @ForAll @IntRange(min = 1, max = 6) int zones) {
        Map<String, String> fleet = fleet(vms, zones);
        List<String> order = ZoneSpread.order(key, fleet);
        assertThat(order).containsExactlyElementsIn(fleet.keySet());
        Set<String> first = new HashSet<>();
        order.stream().limit(Math.min(zones, vms)).forEach(vm -> first.add(fleet.get(vm)));
        assertThat(first).hasSize(Math.min(zones, vms));
    }

    /** A VM that knows one VM less asks the VMs that keep a record. */
    @Property(seed = "43")
    void viewsThatDifferInOneVmAgreeOnTheHolders(
            @ForAll String key,
            @ForAll @IntRange(min = 7, max = 60) int vms,
            @ForAll @IntRange(min = 0, max = 59) int missing) {
        Map<String, String> fleet = fleet(vms, 4);
        List<String> holders = ZoneSpread.order(key, fleet).subList(0, 3);
        fleet.remove("vm-" + missing % vms);
        List<String> asked = ZoneSpread.order(key, fleet).subList(0, 6);
        long found = holders.stream().filter(asked::contains).count();
        assertThat(found).isAtLeast(holders.stream().filter(fleet::containsKey).count());
    }
}
