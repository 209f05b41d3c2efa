package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.LocateAnswer;
import org.bronzelug.daemon.caller.CallerServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a stream that breaks during a rolling restart, because the process of its VM stops
 * without waiting for open requests. A VM that stops gracefully must first steer new callers to
 * other VMs and complete its open streams.
 */
class DrainTest {
    @TempDir Path folder;
    private TestFleet fleet;
    private String key;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(2);
        key = fleet.setUp(1, 0);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    void streamInProgressCompletesAndNewCallersAreSteeredToAnotherVm() throws Exception {
        Iterator<GenerateEvent> events =
                fleet.router("vm-1", key).generate(TestFleet.prompt("long", 400));
        events.next();
        Daemon stopping = fleet.daemons.get("vm-1");
        CompletableFuture<Void> stopped =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                stopping.stop();
                            } catch (InterruptedException interrupted) {
                                Thread.currentThread().interrupt();
                            }
                        });
        Await.until(
                "vm-2 steers callers away from vm-1",
                () -> fleet.locate("vm-2", key).getVms(0).getVm().equals("vm-2"));
        LocateAnswer response = fleet.locate("vm-2", key);
        assertThat(response.getVms(0).getVm()).isEqualTo("vm-2");
        TestFleet.Received received = TestFleet.receive(events);
        assertThat(received.offsets()).hasSize(399);
        assertThat(received.last().hasFinished()).isTrue();
        stopped.join();
    }

    /**
     * Guards against a VM whose roster entry is not updated: the VM stops while its control thread
     * writes the entry, and a stopped server can't report its port, so the write fails and the
     * peers keep the old entry.
     */
    @Test
    void addressIsAvailableAfterStop() throws Exception {
        Daemon stopping = fleet.daemons.get("vm-1");
        CallerServer server =
                stopping.kernel().find(CallerServer.NAME, CallerServer.class).orElseThrow();
        String addressBeforeStop = server.address();
        stopping.stop();
        assertThat(server.address()).isEqualTo(addressBeforeStop);
    }

    @Test
    void newRequestAtStoppingVmIsRejectedAndOpenStreamCompletes() throws Exception {
        Iterator<GenerateEvent> events =
                fleet.router("vm-1", key).generate(TestFleet.prompt("long", 600));
        events.next();
        var router = fleet.router("vm-1", key);
        CompletableFuture<Void> stopped =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                fleet.daemons.get("vm-1").stop();
                            } catch (InterruptedException interrupted) {
                                Thread.currentThread().interrupt();
                            }
                        });
        Await.until(
                "vm-1 rejects new requests",
                () ->
                        TestFleet.receive(router.generate(TestFleet.prompt("new", 1)))
                                .last()
                                .getProblem()
                                .getCode()
                                .equals("STOPPING"));
        assertThat(TestFleet.receive(events).last().hasFinished()).isTrue();
        stopped.join();
    }
}
