package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.file.Path;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.RouterGrpc;
import org.bronzelug.core.limit.RateShares;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

/**
 * Guards against a withdrawn key that still works on a connection opened before, or at a VM that is
 * cut off and can't receive the withdrawal; against a request that runs for another team than its
 * key's; and against a key that appears in logs, metrics or stored objects.
 */
class KeyFailureTest {
    @TempDir Path folder;
    private TestFleet fleet;
    private String key;
    private final ListAppender<ILoggingEvent> log = new ListAppender<>();
    private final Logger root = (Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);

    @BeforeEach
    void start() throws Exception {
        log.start();
        root.addAppender(log);
        fleet = new TestFleet(folder).startDaemons(3);
        key = fleet.setUp(1, 1);
    }

    @AfterEach
    void stop() throws Exception {
        root.detachAppender(log);
        fleet.close();
    }

    private static String outcome(RouterGrpc.RouterBlockingStub router) {
        GenerateEvent lastEvent =
                TestFleet.receive(router.generate(TestFleet.prompt("r", 2))).last();
        return lastEvent.hasFinished() ? "served" : lastEvent.getProblem().getCode();
    }

    @Test
    void withdrawnKeyIsRejectedByAllVmsAlsoOnOpenConnections() throws Exception {
        RouterGrpc.RouterBlockingStub openAtVm1 = fleet.router("vm-1", key);
        RouterGrpc.RouterBlockingStub openAtVm3 = fleet.router("vm-3", key);
        assertThat(outcome(openAtVm1)).isEqualTo("served");
        assertThat(outcome(openAtVm3)).isEqualTo("served");
        assertThat(fleet.withdrawKey(TestFleet.TEAM, "first").getInForce()).isTrue();
        Await.until("vm-1 rejects the key", () -> outcome(openAtVm1).equals("KEY_REFUSED"));
        Await.until("vm-3 rejects the key", () -> outcome(openAtVm3).equals("KEY_REFUSED"));
        assertThat(outcome(fleet.router("vm-2", key))).isEqualTo("KEY_REFUSED");
    }

    /**
     * Guards against a VM that serves a withdrawn key: it can reach neither the platform nor its
     * peers, so it must reject all requests once its configuration is too old.
     */
    @Test
    void vmThatIsCutOffRejectsAllRequests() throws Exception {
        RouterGrpc.RouterBlockingStub openConnection = fleet.router("vm-3", key);
        assertThat(outcome(openConnection)).isEqualTo("served");
        fleet.platformLinks.get("vm-3").cut();
        fleet.peerLinks.values().forEach(CuttableLink::cut);
        fleet.withdrawKey(TestFleet.TEAM, "first");
        Await.until("vm-3 rejects requests", () -> outcome(openConnection).equals("NOT_FRESH"));
        fleet.platformLinks.get("vm-3").heal();
        Await.until(
                "vm-3 has received the withdrawal",
                () -> outcome(openConnection).equals("KEY_REFUSED"));
    }

    /**
     * Guards against a request that waits for a rate share held by another VM until its own
     * deadline, although its VM is cut off and has become stale in the meantime.
     */
    @Test
    void requestThatWaitsForRateShareIsRejectedOnceItsVmIsStale() throws Exception {
        assertThat(outcome(fleet.router("vm-1", key))).isEqualTo("served");
        String holder =
                fleet.daemons
                        .get("vm-1")
                        .view()
                        .catalog()
                        .share(RateShares.groupOf(TestFleet.TEAM))
                        .orElseThrow()
                        .holder()
                        .vm();
        String cutVm = holder.equals("vm-3") ? "vm-2" : "vm-3";
        RouterGrpc.RouterBlockingStub openConnection = fleet.router(cutVm, key);
        assertThat(outcome(openConnection)).isEqualTo("served");
        fleet.platformLinks.get(cutVm).cut();
        fleet.peerLinks.values().forEach(CuttableLink::cut);
        assertThat(outcome(openConnection)).isEqualTo("NOT_FRESH");
    }

    @Test
    void unknownKeyIsRejectedAndEachTeamHasItsOwnCacheSalt() throws Exception {
        assertThat(outcome(fleet.router("vm-1", "blk_guess"))).isEqualTo("KEY_REFUSED");
        fleet.change(r -> r.setSetTeam(TestFleet.team("other", 1_000, 1_000)));
        String otherKey = fleet.issueKey("other", "first");
        assertThat(outcome(fleet.router("vm-1", key))).isEqualTo("served");
        assertThat(outcome(fleet.router("vm-1", otherKey))).isEqualTo("served");
        // The runner separates the teams' cached blocks by salts, which do not reveal the teams.
        long salts =
                fleet.models.get(0).log().stream()
                        .map(line -> line.substring(line.lastIndexOf(' ')))
                        .distinct()
                        .count();
        assertThat(salts).isEqualTo(2);
    }

    @Test
    void keyAppearsInNoEndpointLogMetricOrStoredObject() throws Exception {
        assertThat(outcome(fleet.router("vm-1", key))).isEqualTo("served");
        fleet.runAction("vm-2", key, fleet.refundRequest("vm-1", key, "s1"));
        outcome(fleet.router("vm-1", key + "x"));
        assertThat(fleet.models.get(0).log().toString()).doesNotContain(key);
        assertThat(fleet.applications.get(0).log().toString()).doesNotContain(key);
        StringBuilder output = new StringBuilder();
        log.list.forEach(event -> output.append(event.getFormattedMessage()).append('\n'));
        output.append(fleet.metrics("vm-1"));
        output.append(TestFleet.read(fleet.platform.url() + "/v1/objects"));
        assertThat(output.toString()).contains("daemon started");
        assertThat(output.toString()).doesNotContain(key);
        assertThat(output.toString()).doesNotContain(key.substring(4, 30));
    }
}
