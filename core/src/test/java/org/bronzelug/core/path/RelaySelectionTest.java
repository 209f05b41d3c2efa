package org.bronzelug.core.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The choice of the VM that relays connections to an endpoint. */
class RelaySelectionTest {
    private static final String ENDPOINT = "e";
    private static final RelayPeer CUT = new RelayPeer("cut", "10.0.0.1:1", 3);
    private static final RelayPeer FIRST = new RelayPeer("first", "10.0.0.2:1", 0);
    private static final RelayPeer SECOND = new RelayPeer("second", "10.0.0.3:1", 0);

    private final RelaySelection selection = new RelaySelection(new Random(1));

    private Optional<String> select(long nowNanos, String... tried) {
        return selection.select(ENDPOINT, Set.of(tried), nowNanos).map(RelayPeer::vm);
    }

    @Test
    void vmsThatHaveLostPathsThemselvesComeLast() {
        selection.update(List.of(CUT, FIRST), 0);
        assertThat(select(0)).hasValue("first");
        assertThat(select(0, "first")).hasValue("cut");
        assertThat(select(0, "first", "cut")).isEmpty();
    }

    @Test
    void theVmThatConnectedLastGoesFirstUntilItFails() {
        selection.update(List.of(CUT, FIRST, SECOND), 0);
        selection.recordConnected("cut", ENDPOINT);
        assertThat(select(0)).hasValue("cut");
        selection.recordFailed("cut", ENDPOINT, 0);
        assertThat(select(0).get()).isAnyOf("first", "second");
    }

    @Test
    void aFailureEndsWithTimeAndConcernsOneEndpoint() {
        selection.update(List.of(FIRST), 0);
        selection.recordFailed("first", ENDPOINT, 0);
        assertThat(select(RelaySelection.FAILURE_NANOS - 1)).isEmpty();
        assertThat(selection.select("other", Set.of(), 0)).isPresent();
        assertThat(select(RelaySelection.FAILURE_NANOS)).hasValue("first");
    }

    @Test
    void aVmThatDoesNotRespondIsNotSelectedForAnyEndpoint() {
        selection.update(List.of(FIRST), 0);
        selection.recordUnreachable("first", 0);
        assertThat(selection.select("other", Set.of(), 0)).isEmpty();
    }

    /** Guards against a fleet of which most VMs are cut off and none finds one that is not. */
    @Property
    void aVmThatReachesTheEndpointIsFoundInOneTryPerWrongReport(
            @ForAll @IntRange(min = 1, max = 95) int vms,
            @ForAll @IntRange(min = 0, max = 10) int reachableBut,
            @ForAll @IntRange(min = 0, max = 3) int outdatedReports,
            @ForAll long seed) {
        RelaySelection choice = new RelaySelection(new Random(seed));
        int reachable = 1 + reachableBut % vms;
        int outdated = Math.min(outdatedReports, vms - reachable);
        List<RelayPeer> peers = new ArrayList<>();
        for (int vm = 0; vm < vms; vm++) {
            boolean reportsLoss = vm >= reachable + outdated;
            peers.add(new RelayPeer("vm-" + vm, "10.0.0.1:" + vm, reportsLoss ? 1 : 0));
        }
        choice.update(peers, 0);
        Set<String> tried = new HashSet<>();
        int tries = 0;
        while (true) {
            RelayPeer peer = choice.select(ENDPOINT, tried, 0).orElseThrow();
            tries++;
            if (Integer.parseInt(peer.vm().substring(3)) < reachable) {
                break;
            }
            choice.recordFailed(peer.vm(), ENDPOINT, 0);
            tried.add(peer.vm());
        }
        assertThat(tries).isAtMost(1 + outdated);
    }
}
