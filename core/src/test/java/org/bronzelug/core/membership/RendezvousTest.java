package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against keys that gather at few names, and against VMs that order the same names
 * differently.
 */
class RendezvousTest {
    private static final int NAMES = 42;
    private static final int KEYS = 8_400;

    private static List<String> names() {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < NAMES; index++) {
            names.add("front-zone-" + index);
        }
        return names;
    }

    /** Each name gets 200 of the keys on average; the bounds are five standard deviations away. */
    @Test
    void keysAreSpreadEvenly() {
        Map<String, Integer> keysByName = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            keysByName.merge(Rendezvous.first("key-" + key, names()).get(), 1, Integer::sum);
        }
        assertThat(Collections.min(keysByName.values())).isAtLeast(130);
        assertThat(Collections.max(keysByName.values())).isAtMost(270);
    }

    @Test
    void orderDoesNotDependOnTheOrderOfTheNames() {
        List<String> shuffled = names();
        Collections.shuffle(shuffled, new Random(7));
        for (int key = 0; key < 100; key++) {
            List<String> order = Rendezvous.order("key-" + key, names());
            assertThat(Rendezvous.order("key-" + key, shuffled)).isEqualTo(order);
            assertThat(Rendezvous.first("key-" + key, shuffled).get()).isEqualTo(order.get(0));
        }
    }

    @Test
    void removedNameMovesOnlyItsOwnKeys() {
        List<String> fewer = names();
        fewer.remove("front-zone-7");
        for (int key = 0; key < 1_000; key++) {
            String before = Rendezvous.first("key-" + key, names()).get();
            String after = Rendezvous.first("key-" + key, fewer).get();
            assertThat(before.equals("front-zone-7") || after.equals(before)).isTrue();
        }
    }
}
