package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bronzelug.api.AuditEntry;
import org.bronzelug.api.AuditRequest;
import org.bronzelug.api.ChangeAnswer;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.RemoveVm;
import org.bronzelug.core.limit.TeamRate;
import org.bronzelug.core.membership.Rendezvous;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a wrong result of a configuration change: success although a concurrent change has
 * overwritten it, or failure although it took effect. This happens when two changes race, or when
 * the response to a write is lost and the writer takes its own committed value for another's. Also
 * guards against VMs that miss a committed change or return to an older configuration.
 */
class ConfigurationFailureTest {
    @TempDir Path folder;
    private TestFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(3);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private ChangeAnswer setRate(String vm, double rate, long expectedVersion) {
        return fleet.change(
                vm,
                r ->
                        r.setExpectedVersion(expectedVersion)
                                .setSetTeam(TestFleet.team("team", rate, 10)));
    }

    private boolean allVmsHaveRate(double rate) {
        TeamRate expected = new TeamRate(rate, 10);
        return fleet.daemons.values().stream()
                .allMatch(
                        daemon ->
                                daemon.view()
                                        .catalog()
                                        .rate("team")
                                        .filter(expected::equals)
                                        .isPresent());
    }

    @Test
    void changeComesIntoForceOnAllVms() throws Exception {
        assertThat(setRate("vm-1", 5, 0).getInForce()).isTrue();
        Await.until("all VMs have the change", () -> allVmsHaveRate(5));
    }

    /**
     * Guards against a VM that misses a change because its link to the platform and its inbound
     * peer links are cut. It can still fetch the change from its peers.
     */
    @Test
    void vmThatIsCutOffGetsTheChangeFromItsPeers() throws Exception {
        fleet.platformLinks.get("vm-3").cut();
        fleet.peerLinks.get("vm-3").cut();
        assertThat(setRate("vm-1", 6, 0).getInForce()).isTrue();
        Await.until("all VMs have the change, vm-3 from its peers", () -> allVmsHaveRate(6));
    }

    @Test
    void onlyOneOfConcurrentChangesCommitsAndTheOthersGetItsVersion() throws Exception {
        long base = setRate("vm-1", 1, 0).getVersion();
        List<CompletableFuture<ChangeAnswer>> pending;
        try (ExecutorService operators = Executors.newVirtualThreadPerTaskExecutor()) {
            pending =
                    List.of(1, 2, 3).stream()
                            .map(
                                    number ->
                                            CompletableFuture.supplyAsync(
                                                    () -> setRate("vm-" + number, number, base),
                                                    operators))
                            .toList();
        }
        List<ChangeAnswer> responses = pending.stream().map(CompletableFuture::join).toList();
        List<ChangeAnswer> committed = responses.stream().filter(a -> !a.hasProblem()).toList();
        assertThat(committed).hasSize(1);
        for (ChangeAnswer response : responses) {
            if (response.hasProblem()) {
                assertThat(response.getProblem().getCode()).isEqualTo("CONFIGURATION_CONFLICT");
                assertThat(response.getProblem().getCurrentVersion())
                        .isEqualTo(committed.get(0).getVersion());
            }
        }
    }

    @Test
    void writeWithLostResponseIsReportedAsCommitted() throws Exception {
        fleet.platform.setFaults(false, 0, 1);
        ChangeAnswer response = setRate("vm-1", 7, 0);
        assertThat(response.hasProblem()).isFalse();
        Await.until("all VMs have the change", () -> allVmsHaveRate(7));
        assertThat(audit("team/team")).hasSize(1);
    }

    @Test
    void everyChangeHasAnAuditEntryWithoutTheKey() throws Exception {
        setRate("vm-1", 1, 0);
        setRate("vm-2", 2, 0);
        String key = fleet.issueKey("team", "first");
        List<AuditEntry> entries = audit("team/team");
        assertThat(entries).hasSize(3);
        assertThat(entries.get(1).getOperatorName()).isEqualTo("tester");
        assertThat(entries.get(1).getChange()).contains("tokens_per_second: 2");
        assertThat(entries.get(2).getChange()).contains("issue_key");
        assertThat(entries.toString()).doesNotContain(key);
    }

    private List<AuditEntry> audit(String object) {
        AuditRequest request = AuditRequest.newBuilder().setObject(object).build();
        return fleet.operator("vm-2").audit(request).getEntriesList();
    }

    /**
     * Guards against a platform outage that stops requests: changes are rejected with an error to
     * the operator, and requests are still served.
     */
    @Test
    void platformOutageRejectsChangesAndRequestsAreStillServed() throws Exception {
        String key = fleet.setUp(1, 0);
        fleet.platform.setFaults(true, 0, 0);
        assertThat(setRate("vm-1", 9, 0).getProblem().getCode()).isEqualTo("CHANGE_IN_DOUBT");
        Await.until(
                "vm-1 has detected the outage", () -> !fleet.daemons.get("vm-1").isPlatformUp());
        for (String vm : fleet.daemons.keySet()) {
            assertThat(isServed(vm, key)).isTrue();
        }
    }

    private boolean isServed(String vm, String key) {
        GenerateEvent lastEvent =
                TestFleet.receive(fleet.router(vm, key).generate(TestFleet.prompt("r", 2))).last();
        return lastEvent.hasFinished();
    }

    /**
     * Guards against a VM that starts without a configuration during a platform outage and serves
     * none or an old one. It must get the newest configuration from its peers.
     */
    @Test
    void vmReplacedDuringPlatformOutageServesTheNewestConfiguration() throws Exception {
        String key = fleet.setUp(1, 0);
        fleet.issueKey(TestFleet.TEAM, "second");
        fleet.withdrawKey(TestFleet.TEAM, "second");
        fleet.platform.setFaults(true, 0, 0);
        fleet.daemons.remove("vm-2").kill();
        fleet.startDaemon("vm-2");
        Await.until("vm-2 serves", () -> fleet.daemons.get("vm-2").isServing());
        Await.until("vm-2 finds the runner", () -> fleet.daemons.get("vm-2").liveEndpoints() == 1);
        assertThat(fleet.daemons.get("vm-2").view().catalog().roster().keySet())
                .containsExactly("vm-1", "vm-2", "vm-3");
        assertThat(fleet.daemons.get("vm-1").digest())
                .isEqualTo(fleet.daemons.get("vm-2").digest());
        assertThat(key).isNotEmpty();
    }

    /**
     * Guards against a roster that keeps the old address of a replaced VM. A VM that starts during
     * a platform outage gets the configuration from its peers, so it does not watch the platform.
     * It must still contact the platform after the outage, to write its new address to the roster.
     */
    @Test
    void vmReplacedDuringPlatformOutageUpdatesItsRosterEntryAfterwards() throws Exception {
        fleet.startDaemon("vm-4");
        fleet.startDaemon("vm-5");
        Await.until(
                "all five VMs have five roster entries",
                () ->
                        fleet.daemons.values().stream()
                                .allMatch(d -> d.view().catalog().roster().size() == 5));
        String replaced = Rendezvous.order("platform-watchers", fleet.daemons.keySet()).get(4);
        fleet.platform.setFaults(true, 0, 0);
        fleet.daemons.remove(replaced).kill();
        fleet.startDaemon(replaced);
        Await.until("the replaced VM serves", () -> fleet.daemons.get(replaced).isServing());
        fleet.platform.setFaults(false, 0, 0);
        String address = fleet.peerLinks.get(replaced).address();
        for (Daemon daemon : fleet.daemons.values()) {
            Await.until(
                    "a VM has the new address of the replaced VM",
                    () ->
                            daemon.view()
                                    .catalog()
                                    .roster()
                                    .get(replaced)
                                    .getPeerAddress()
                                    .equals(address));
        }
    }

    /**
     * Guards against a loss of the configuration when all VMs are replaced at once: they must read
     * it from the platform and serve again.
     */
    @Test
    void allVmsReplacedAtOnceServeWithTheStoredConfiguration() throws Exception {
        String key = fleet.setUp(1, 0);
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.daemons.remove(vm).kill();
        }
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.startDaemon(vm);
        }
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            Await.until(vm + " serves again", () -> isServed(vm, key));
        }
    }

    /**
     * Guards against VMs that serve without a configuration: all VMs are replaced during a platform
     * outage, so none of them has one until the outage ends.
     */
    @Test
    void allVmsReplacedDuringPlatformOutageRejectRequestsUntilItEnds() throws Exception {
        String key = fleet.setUp(1, 0);
        fleet.platform.setFaults(true, 0, 0);
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.daemons.remove(vm).kill();
        }
        fleet.startDaemon("vm-1");
        fleet.startDaemon("vm-2");
        GenerateEvent lastEvent =
                TestFleet.receive(fleet.router("vm-1", key).generate(TestFleet.prompt("r", 2)))
                        .last();
        assertThat(lastEvent.getProblem().getCode()).isEqualTo("NOT_FRESH");
        assertThat(lastEvent.getProblem().getRetryAfterMs()).isGreaterThan(0L);
        fleet.platform.setFaults(false, 0, 0);
        Await.until("vm-1 serves again", () -> isServed("vm-1", key));
    }

    /**
     * Guards against a fleet that never serves again after all VMs were replaced by VMs with new
     * names. The majority of the old roster can't confirm a change any more, so the operator
     * removes the old VMs as switched off, and the new VMs take ownership of the rates.
     */
    @Test
    void vmsWithNewNamesServeOnceTheOldVmsAreRemovedAsSwitchedOff() throws Exception {
        String key = fleet.setUp(1, 0);
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.daemons.remove(vm).kill();
        }
        fleet.startDaemon("new-1");
        fleet.startDaemon("new-2");
        Await.until("new-1 has the configuration", () -> fleet.daemons.get("new-1").isServing());
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            RemoveVm removal = RemoveVm.newBuilder().setVm(vm).setSwitchedOff(true).build();
            Await.until(
                    vm + " is removed from the roster",
                    () -> fleet.change("new-1", r -> r.setRemoveVm(removal)).getVersion() > 0);
        }
        Await.until("new-1 serves", () -> isServed("new-1", key));
        Await.until("new-2 serves", () -> isServed("new-2", key));
    }

    @Test
    void removedVmLeavesTheRoster() throws Exception {
        fleet.daemons.remove("vm-3").kill();
        ChangeAnswer response =
                fleet.change(r -> r.setRemoveVm(RemoveVm.newBuilder().setVm("vm-3")));
        assertThat(response.getInForce()).isTrue();
        Await.until(
                "the roster has two entries",
                () -> fleet.daemons.get("vm-2").view().catalog().roster().size() == 2);
    }
}
