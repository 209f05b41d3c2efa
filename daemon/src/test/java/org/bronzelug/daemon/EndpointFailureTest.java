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
 * Guards against new requests at an endpoint that is leaving, because some VM has not received the
 * change; and against conflicting orders to load weights, because the VM that gives a pool's orders
 * dies or is cut off and another VM takes ownership. Only one VM at a time gives a pool's orders.
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

    private void sendRequestsToEveryVm(String id) {
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
    void leavingEndpointGetsNoNewRequestFromAnyVm() throws Exception {
        sendRequestsToEveryVm("before");
        assertThat(fleet.models.get(0).log()).isNotEmpty();
        assertThat(fleet.leaveEndpoint("model-1").getInForce()).isTrue();
        Await.until(
                "all VMs have the same configuration",
                () ->
                        fleet.daemons.values().stream()
                                .allMatch(
                                        daemon ->
                                                daemon.digest()
                                                        == fleet.daemons.get("vm-1").digest()));
        int served = fleet.models.get(0).log().size();
        sendRequestsToEveryVm("after");
        assertThat(fleet.models.get(0).log()).hasSize(served);
    }

    private boolean allLoaded(long weights) {
        return fleet.models.stream()
                .allMatch(runner -> lastOrderedVersion(runner).equals(Long.toString(weights)));
    }

    private static String lastOrderedVersion(ModelRunnerStandin runner) {
        List<String> orders =
                runner.log().stream().filter(line -> line.startsWith("order ")).toList();
        return orders.isEmpty() ? "" : orders.get(orders.size() - 1).split(" ")[2];
    }

    private void publishWeights(long weights) {
        fleet.change(
                r ->
                        r.setOrderWeights(
                                OrderWeights.newBuilder()
                                        .setPool(TestFleet.MODEL_POOL)
                                        .setWeightsVersion(weights)));
    }

    @Test
    void everyRunnerLoadsPublishedWeightsOnceWithinTheConcurrencyLimit() throws Exception {
        publishWeights(2);
        Await.until("all have loaded", () -> allLoaded(2));
        for (ModelRunnerStandin runner : fleet.models) {
            long orders = runner.log().stream().filter(l -> l.startsWith("order ")).count();
            assertThat(orders).isEqualTo(1);
        }
        assertThat(ModelRunnerStandin.maximumConcurrentLoads()).isAtMost(2);
    }

    /**
     * Guards against an outdated order: the holder is cut off from the platform and its peers,
     * another VM takes ownership and gives a new order, then the previous holder reconnects. Its
     * old order must not be repeated, even to endpoints that ignore fencing tokens.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void previousHolderThatReconnectsGivesNoOutdatedOrder(boolean checksFencing) throws Exception {
        fleet.models.forEach(runner -> runner.setChecksFencing(checksFencing));
        publishWeights(2);
        Await.until("all have loaded", () -> allLoaded(2));
        String previousHolder = holder("vm-1");
        setCutOff(previousHolder, true);
        String survivor =
                fleet.daemons.keySet().stream()
                        .filter(vm -> !vm.equals(previousHolder))
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
        setCutOff(previousHolder, false);
        Await.until(
                "the previous holder knows the new one",
                () -> holder(previousHolder).equals(holder(survivor)));
        for (ModelRunnerStandin runner : fleet.models) {
            List<String> orders =
                    runner.log().stream().filter(line -> line.startsWith("order ")).toList();
            assertThat(orders).hasSize(2);
            assertThat(lastOrderedVersion(runner)).isEqualTo("3");
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

    /** Cuts a VM's link to the platform and its inbound peer links, or heals them. */
    private void setCutOff(String vm, boolean cut) {
        if (cut) {
            fleet.peerLinks.get(vm).cut();
            fleet.platformLinks.get(vm).cut();
        } else {
            fleet.peerLinks.get(vm).heal();
            fleet.platformLinks.get(vm).heal();
        }
    }

    /**
     * Guards against orders of two holders at once: the holder dies, and the next one must wait
     * until the previous one has certainly stopped, then give orders with a higher fencing token.
     */
    @Test
    void nextHolderGivesOrdersWithHigherFencingNumber() throws Exception {
        publishWeights(2);
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
