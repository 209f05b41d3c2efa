package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.file.Path;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.RouterGrpc;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

/**
 * A request runs only for its key's team, the key is seen nowhere, and a withdrawn one is refused.
 *
 * <p>What the operator would see: a withdrawn key still works at the one VM that was cut off, or at
 * a connection opened before. The order: the caller connects, the key is withdrawn, the caller asks
 * again. Why: a VM that can't hear of the withdrawal goes on as before.
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
        GenerateEvent last = TestFleet.receive(router.generate(TestFleet.prompt("r", 2))).last();
        return last.hasFinished() ? "served" : last.getProblem().getCode();
    }

    @Test
    void aWithdrawnKeyIsRefusedEverywhereOnOpenConnectionsToo() throws Exception {
        RouterGrpc.RouterBlockingStub open1 = fleet.router("vm-1", key);
        RouterGrpc.RouterBlockingStub open3 = fleet.router("vm-3", key);
        assertThat(outcome(open1)).isEqualTo("served");
        assertThat(outcome(open3)).isEqualTo("served");
        assertThat(fleet.withdraw(TestFleet.TEAM, "first").getInForce()).isTrue();
        Await.until("vm-1 refuses", () -> outcome(open1).equals("KEY_REFUSED"));
        Await.until("vm-3 refuses", () -> outcome(open3).equals("KEY_REFUSED"));
        assertThat(outcome(fleet.router("vm-2", key))).isEqualTo("KEY_REFUSED");
    }

    /** The VM that can hear neither platform nor peers serves nobody once its knowledge is old. */
    @Test
    void aVmThatIsCutOffServesNobody() throws Exception {
        RouterGrpc.RouterBlockingStub open = fleet.router("vm-3", key);
        assertThat(outcome(open)).isEqualTo("served");
        fleet.platformLinks.get("vm-3").cut();
        fleet.peerLinks.values().forEach(CuttableLink::cut);
        fleet.withdraw(TestFleet.TEAM, "first");
        Await.until("vm-3 refuses", () -> outcome(open).equals("NOT_FRESH"));
        fleet.platformLinks.get("vm-3").heal();
        Await.until("vm-3 knows", () -> outcome(open).equals("KEY_REFUSED"));
    }

    @Test
    void anUnknownKeyIsRefusedAndAnotherTeamsKeyNamesItsOwnTeam() throws Exception {
        assertThat(outcome(fleet.router("vm-1", "blk_guess"))).isEqualTo("KEY_REFUSED");
        fleet.change(r -> r.setSetTeam(TestFleet.team("other", 1_000, 1_000)));
        String other = fleet.issueKey("other", "first");
        assertThat(outcome(fleet.router("vm-1", key))).isEqualTo("served");
        assertThat(outcome(fleet.router("vm-1", other))).isEqualTo("served");
        // The runner keeps the teams' blocks apart by salts that it can't tell the teams from.
        long salts =
                fleet.models.get(0).log().stream()
                        .map(line -> line.substring(line.lastIndexOf(' ')))
                        .distinct()
                        .count();
        assertThat(salts).isEqualTo(2);
    }

    @Test
    void noEndpointLogMetricOrObjectHoldsAKey() throws Exception {
        assertThat(outcome(fleet.router("vm-1", key))).isEqualTo("served");
        fleet.act("vm-2", key, fleet.refund("vm-1", key, "s1"));
        outcome(fleet.router("vm-1", key + "x"));
        assertThat(fleet.models.get(0).log().toString()).doesNotContain(key);
        assertThat(fleet.applications.get(0).log().toString()).doesNotContain(key);
        StringBuilder seen = new StringBuilder();
        log.list.forEach(event -> seen.append(event.getFormattedMessage()).append('\n'));
        seen.append(fleet.metrics("vm-1"));
        seen.append(TestFleet.read(fleet.platform.url() + "/v1/objects"));
        assertThat(seen.toString()).contains("daemon started");
        assertThat(seen.toString()).doesNotContain(key);
        assertThat(seen.toString()).doesNotContain(key.substring(4, 30));
    }
}
