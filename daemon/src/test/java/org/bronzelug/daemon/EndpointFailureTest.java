package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.bronzelug.api.OrderWeights;
import org.bronzelug.standin.ModelRunnerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Leaving endpoints get no new work, and a pool's orders come from one VM at a time.
 *
 * <p>What the partner would see: requests at an endpoint that left, or weights loaded twice in
 * turns. The order: the operator declares it, and some VM has not heard; or the VM that gives the
 * orders dies between two of them.
 */
class EndpointFailureTest {
    @TempDir Path folder;
    private TestFleet fleet;
    private String key;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(3);
        key = fleet.setUp(3, 0);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private void serveAtEveryVm(String id) {
        for (String vm : fleet.daemons.keySet()) {
            for (int number = 0; number < 8; number++) {
                var prompt =
                        TestFleet.prompt(id + number, 2).toBuilder()
                                .setSegments(0, "rules " + number)
                                .build();
                var received = TestFleet.receive(fleet.router(vm, key).generate(prompt));
                assertThat(received.last().hasFinished()).isTrue();
            }
        }
    }

    @Test
    void aLeavingEndpointGetsNoNewWorkAnywhere() throws Exception {
        serveAtEveryVm("before");
        assertThat(fleet.models.get(0).log()).isNotEmpty();
        assertThat(fleet.leave("model-1").getInForce()).isTrue();
        Await.until(
                "all VMs have it in force",
                () ->
                        fleet.daemons.values().stream()
                                .allMatch(
                                        daemon ->
                                                daemon.digest()
                                                        == fleet.daemons.get("vm-1").digest()));
        int served = fleet.models.get(0).log().size();
        serveAtEveryVm("after");
        assertThat(fleet.models.get(0).log()).hasSize(served);
    }

    private boolean allLoaded(long weights) {
        return fleet.models.stream()
                .allMatch(runner -> lastOrder(runner).equals(Long.toString(weights)));
    }

    private static String lastOrder(ModelRunnerStandin runner) {
        List<String> orders =
                runner.log().stream().filter(line -> line.startsWith("order ")).toList();
        return orders.isEmpty() ? "" : orders.get(orders.size() - 1).split(" ")[2];
    }

    private void order(long weights) {
        fleet.change(
                r ->
                        r.setOrderWeights(
                                OrderWeights.newBuilder()
                                        .setPool(TestFleet.MODEL_POOL)
                                        .setWeightsVersion(weights)));
    }

    @Test
    void allRunnersLoadTheOrderedWeightsOnce() throws Exception {
        order(2);
        Await.until("all have loaded", () -> allLoaded(2));
        for (ModelRunnerStandin runner : fleet.models) {
            long orders = runner.log().stream().filter(l -> l.startsWith("order ")).count();
            assertThat(orders).isEqualTo(1);
        }
        assertThat(ModelRunnerStandin.mostLoadsAtOnce()).isAtMost(2);
    }

    /**
     * The holder is out of the others' reach and of the platform's, so another takes over and gives
     * a new order; then it is back. Also endpoints that ignore fencing numbers must not see its old
     * order again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFormerHolderThatComesBackGivesNoOldOrder(boolean checksFencing) throws Exception {
        fleet.models.forEach(runner -> runner.setChecksFencing(checksFencing));
        order(2);
        Await.until("all have loaded", () -> allLoaded(2));
        String former = holder("vm-1");
        cutOff(former, true);
        String survivor =
                fleet.daemons.keySet().stream()
                        .filter(vm -> !vm.equals(former))
                        .findFirst()
                        .orElseThrow();
        fleet.change(
                survivor,
                r ->
                        r.setOrderWeights(
                                OrderWeights.newBuilder()
                                        .setPool(TestFleet.MODEL_POOL)
                                        .setWeightsVersion(3)));
        Await.until("all have loaded again", () -> allLoaded(3));
        cutOff(former, false);
        Await.until(
                "the former holder knows the next one",
                () -> holder(former).equals(holder(survivor)));
        for (ModelRunnerStandin runner : fleet.models) {
            List<String> orders =
                    runner.log().stream().filter(line -> line.startsWith("order ")).toList();
            assertThat(orders).hasSize(2);
            assertThat(lastOrder(runner)).isEqualTo("3");
        }
    }

    private String holder(String vm) {
        return fleet.daemons
                .get(vm)
                .view()
                .catalog()
                .order(TestFleet.MODEL_POOL)
                .orElseThrow()
                .holder()
                .vm();
    }

    /** Cuts a VM off from the platform, and the others from it, or heals it. */
    private void cutOff(String vm, boolean cut) {
        if (cut) {
            fleet.peerLinks.get(vm).cut();
            fleet.platformLinks.get(vm).cut();
        } else {
            fleet.peerLinks.get(vm).heal();
            fleet.platformLinks.get(vm).heal();
        }
    }

    /** The holder dies; the next one waits until it has surely stopped, with a higher number. */
    @Test
    void theNextHolderGoesOnWithAHigherFencingNumber() throws Exception {
        order(2);
        Await.until("all have loaded", () -> allLoaded(2));
        String holder = holder("vm-1");
        fleet.daemons.remove(holder).kill();
        String survivor = fleet.daemons.keySet().iterator().next();
        fleet.change(
                survivor,
                r ->
                        r.setOrderWeights(
                                OrderWeights.newBuilder()
                                        .setPool(TestFleet.MODEL_POOL)
                                        .setWeightsVersion(3)));
        Await.until("all have loaded again", () -> allLoaded(3));
        for (ModelRunnerStandin runner : fleet.models) {
            List<Long> fencing =
                    runner.log().stream()
                            .filter(line -> line.startsWith("order "))
                            .map(line -> Long.parseLong(line.split(" ")[1]))
                            .toList();
            assertThat(fencing).isInStrictOrder();
        }
    }
}
