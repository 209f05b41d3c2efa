package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.traffic.TrafficState;

/**
 * What the VMs keep on the platform for VMs that all restart: the recent software versions of
 * pools, the origins of open streams, and quarantines. Confined to the control thread.
 */
final class StoredState {
    private final StoredVersions versions;
    private final CurrentVersions currentVersions;
    private final StoredOrigins origins;
    private final StoredOriginsCleanup originsCleanup;
    private final StoredQuarantines quarantines;

    /**
     * @param endpoints this VM's copy of the list of endpoints
     * @param onChange receives the kind of endpoints if its objects have changed
     * @param quarantineReader receives the stored quarantines, once
     */
    StoredState(
            EventLoop control,
            EventLoop traffic,
            VmSettings settings,
            ObjectStore store,
            MemberTable members,
            ControlState endpoints,
            Consumer<String> onChange,
            TrafficState state,
            StoredQuarantines.Reader quarantineReader) {
        String vm = settings.vm();
        this.origins = new StoredOrigins(control, store, vm);
        this.originsCleanup = new StoredOriginsCleanup(store, vm, members);
        this.versions =
                new StoredVersions(
                        control,
                        store,
                        vm,
                        members,
                        settings.fleetStarts(),
                        new StoredVersionsAdoption(traffic, state.origins().versions()));
        this.currentVersions =
                new CurrentVersions(
                        control,
                        store,
                        endpoints.endpointKind(),
                        endpoints.mirror(endpoints.endpointKind()),
                        onChange);
        this.quarantines = new StoredQuarantines(control, store, vm, members, quarantineReader);
    }

    /** Returns the reader of the versions that pools have now. */
    CurrentVersions currentVersions() {
        return currentVersions;
    }

    /** Returns the origins of open streams. */
    StoredOrigins origins() {
        return origins;
    }

    void start() {
        origins.start();
        versions.start();
        quarantines.start();
    }

    void stop() {
        origins.stop();
        versions.stop();
        quarantines.stop();
    }

    /**
     * Writes what has changed, if it is this VM's turn.
     *
     * @param vms the number of VMs, which share the platform's writes
     */
    void round(TrafficReport report, int vms) {
        origins.round(vms);
        originsCleanup.round(System.nanoTime());
        versions.round(report.recentVersions());
        quarantines.round(report.quarantines());
    }
}
