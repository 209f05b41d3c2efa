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
 * An accepted configuration is in force everywhere, never reverts, and one of two racing operators
 * is told that the other was first.
 *
 * <p>What the operator would see: "done" for a change that another has overwritten, or "failed" for
 * one that took effect. The order: two changes meet, or a write's answer is lost. Why: the writer
 * takes its own committed value for somebody else's.
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

    private boolean everywhere(double rate) {
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
    void aChangeComesIntoForceEverywhere() throws Exception {
        assertThat(setRate("vm-1", 5, 0).getInForce()).isTrue();
        Await.until("all VMs have it", () -> everywhere(5));
    }

    /** The change must reach a VM whose platform and whose inbound links are cut for a while. */
    @Test
    void aVmThatWasCutOffCatchesUp() throws Exception {
        fleet.platformLinks.get("vm-3").cut();
        fleet.peerLinks.get("vm-3").cut();
        assertThat(setRate("vm-1", 6, 0).getInForce()).isTrue();
        Await.until("all VMs have it, vm-3 by asking its peers", () -> everywhere(6));
    }

    @Test
    void ofRacingOperatorsOneWinsAndTheOthersAreToldTheVersion() throws Exception {
        long base = setRate("vm-1", 1, 0).getVersion();
        List<CompletableFuture<ChangeAnswer>> racing;
        try (ExecutorService operators = Executors.newVirtualThreadPerTaskExecutor()) {
            racing =
                    List.of(1, 2, 3).stream()
                            .map(
                                    number ->
                                            CompletableFuture.supplyAsync(
                                                    () -> setRate("vm-" + number, number, base),
                                                    operators))
                            .toList();
        }
        List<ChangeAnswer> answers = racing.stream().map(CompletableFuture::join).toList();
        List<ChangeAnswer> won = answers.stream().filter(a -> !a.hasProblem()).toList();
        assertThat(won).hasSize(1);
        for (ChangeAnswer answer : answers) {
            if (answer.hasProblem()) {
                assertThat(answer.getProblem().getCode()).isEqualTo("CONFIGURATION_CONFLICT");
                assertThat(answer.getProblem().getCurrentVersion())
                        .isEqualTo(won.get(0).getVersion());
            }
        }
    }

    @Test
    void aWriteWhoseAnswerWasLostIsKnownAsOnesOwn() throws Exception {
        fleet.platform.setFaults(false, 0, 1);
        ChangeAnswer answer = setRate("vm-1", 7, 0);
        assertThat(answer.hasProblem()).isFalse();
        Await.until("all VMs have it", () -> everywhere(7));
        assertThat(audit("team/team")).hasSize(1);
    }

    @Test
    void noChangeIsWithoutItsAuditEntry() throws Exception {
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

    /** The platform is down: nothing is changed, the operator is told so, and traffic goes on. */
    @Test
    void anOutageRefusesChangesAndServesOn() throws Exception {
        String key = fleet.setUp(1, 0);
        fleet.platform.setFaults(true, 0, 0);
        assertThat(setRate("vm-1", 9, 0).getProblem().getCode()).isEqualTo("CHANGE_IN_DOUBT");
        Await.until("the outage is noticed", () -> !fleet.daemons.get("vm-1").isPlatformUp());
        for (String vm : fleet.daemons.keySet()) {
            assertThat(served(vm, key)).isTrue();
        }
    }

    private boolean served(String vm, String key) {
        GenerateEvent last =
                TestFleet.receive(fleet.router(vm, key).generate(TestFleet.prompt("r", 2))).last();
        return last.hasFinished();
    }

    /** A VM replaced in an outage has nothing, and gets the newest from its peers. */
    @Test
    void aVmReplacedInAnOutageServesTheNewestConfiguration() throws Exception {
        String key = fleet.setUp(1, 0);
        fleet.issueKey(TestFleet.TEAM, "second");
        fleet.withdraw(TestFleet.TEAM, "second");
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
     * A VM replaced in an outage hears the configuration from its peers, and so does not watch the
     * platform itself; it must ask all the same once the platform is back, or nobody learns its new
     * address.
     */
    @Test
    void aVmReplacedInAnOutageEntersTheRosterAfterIt() throws Exception {
        fleet.startDaemon("vm-4");
        fleet.startDaemon("vm-5");
        Await.until(
                "five VMs know each other",
                () ->
                        fleet.daemons.values().stream()
                                .allMatch(d -> d.view().catalog().roster().size() == 5));
        String replaced = Rendezvous.order("platform-watchers", fleet.daemons.keySet()).get(4);
        fleet.platform.setFaults(true, 0, 0);
        fleet.daemons.remove(replaced).kill();
        fleet.startDaemon(replaced);
        Await.until("it serves", () -> fleet.daemons.get(replaced).isServing());
        fleet.platform.setFaults(false, 0, 0);
        String address = fleet.peerLinks.get(replaced).address();
        for (Daemon daemon : fleet.daemons.values()) {
            Await.until(
                    "its address is known",
                    () ->
                            daemon.view()
                                    .catalog()
                                    .roster()
                                    .get(replaced)
                                    .getPeerAddress()
                                    .equals(address));
        }
    }

    /** All VMs are replaced at once, platform up: the herd serves with the configuration kept. */
    @Test
    void aHerdOfAllVmsComesBackWithTheConfiguration() throws Exception {
        String key = fleet.setUp(1, 0);
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.daemons.remove(vm).kill();
        }
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.startDaemon(vm);
        }
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            Await.until(vm + " serves again", () -> served(vm, key));
        }
    }

    /** All are replaced while the platform is down: nothing is known, so nothing is served. */
    @Test
    void aHerdInAnOutageRefusesUntilThePlatformIsBack() throws Exception {
        String key = fleet.setUp(1, 0);
        fleet.platform.setFaults(true, 0, 0);
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.daemons.remove(vm).kill();
        }
        fleet.startDaemon("vm-1");
        fleet.startDaemon("vm-2");
        GenerateEvent last =
                TestFleet.receive(fleet.router("vm-1", key).generate(TestFleet.prompt("r", 2)))
                        .last();
        assertThat(last.getProblem().getCode()).isEqualTo("NOT_FRESH");
        assertThat(last.getProblem().getRetryAfterMs()).isGreaterThan(0L);
        fleet.platform.setFaults(false, 0, 0);
        Await.until("vm-1 serves again", () -> served("vm-1", key));
    }

    /**
     * All VMs are replaced by others of new names. The old majority can't confirm any more; the
     * operator vouches that the old VMs are off, and the new ones take the rates over.
     */
    @Test
    void aFleetOfNewNamesServesOnceTheOldVmsAreVouchedFor() throws Exception {
        String key = fleet.setUp(1, 0);
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            fleet.daemons.remove(vm).kill();
        }
        fleet.startDaemon("new-1");
        fleet.startDaemon("new-2");
        Await.until("new-1 knows the configuration", () -> fleet.daemons.get("new-1").isServing());
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            RemoveVm gone = RemoveVm.newBuilder().setVm(vm).setSwitchedOff(true).build();
            Await.until(
                    vm + " is out of the roster",
                    () -> fleet.change("new-1", r -> r.setRemoveVm(gone)).getVersion() > 0);
        }
        Await.until("new-1 serves", () -> served("new-1", key));
        Await.until("new-2 serves", () -> served("new-2", key));
    }

    @Test
    void aVmThatIsGoneForGoodLeavesTheRoster() throws Exception {
        fleet.daemons.remove("vm-3").kill();
        ChangeAnswer answer = fleet.change(r -> r.setRemoveVm(RemoveVm.newBuilder().setVm("vm-3")));
        assertThat(answer.getInForce()).isTrue();
        Await.until(
                "the roster has two",
                () -> fleet.daemons.get("vm-2").view().catalog().roster().size() == 2);
    }
}
