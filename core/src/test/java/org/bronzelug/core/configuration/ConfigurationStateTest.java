package org.bronzelug.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Checks that a configuration in force never reverts to an older one.
 *
 * <p>Guards against a withdrawn key that works again: after the new object is in force, a peer or a
 * delayed platform read offers the old one, since messages can be delayed and duplicated.
 */
class ConfigurationStateTest {
    @Property(seed = "7201")
    void versionsNeverDecreaseInAnyOrderOfArrival(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 30) Integer> offers) {
        ConfigurationState state = ConfigurationState.empty();
        Map<String, Long> highest = new HashMap<>();
        for (int offer : offers) {
            VersionedObject object = object(offer);
            state = state.with(List.of(object));
            highest.merge(object.key(), object.version(), Math::max);
            for (Map.Entry<String, Long> entry : highest.entrySet()) {
                assertThat(state.version(entry.getKey())).isEqualTo(entry.getValue());
            }
        }
        assertThat(state.covers(highest)).isTrue();
    }

    @Property(seed = "7202")
    void equalContentsHaveEqualDigestsInAnyOrderOfArrival(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 0, max = 30) Integer> offers,
            @ForAll long seed) {
        List<Integer> shuffled = new ArrayList<>(offers);
        Collections.shuffle(shuffled, new Random(seed));
        ConfigurationState inOrder = ConfigurationState.empty().with(objects(offers));
        ConfigurationState inShuffledOrder = ConfigurationState.empty();
        for (int offer : shuffled) {
            inShuffledOrder = inShuffledOrder.with(List.of(object(offer)));
        }
        assertThat(inOrder.digest()).isEqualTo(inShuffledOrder.digest());
        ConfigurationState newer =
                inOrder.with(List.of(new VersionedObject("k9", 99, new byte[0])));
        assertThat(newer.digest()).isNotEqualTo(inOrder.digest());
    }

    private static List<VersionedObject> objects(List<Integer> offers) {
        return offers.stream().map(ConfigurationStateTest::object).toList();
    }

    private static VersionedObject object(int offer) {
        return new VersionedObject("k" + offer % 3, 1 + offer / 3, new byte[] {(byte) offer});
    }
}
