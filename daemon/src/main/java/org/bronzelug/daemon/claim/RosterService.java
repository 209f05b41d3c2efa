package org.bronzelug.daemon.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.AuditEntry;
import org.bronzelug.api.RosterEntry;
import org.bronzelug.api.RosterObject;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.daemon.caller.CallerServer;
import org.bronzelug.daemon.configuration.AuditTrail;
import org.bronzelug.daemon.configuration.ObjectKeys;
import org.bronzelug.daemon.configuration.ObjectWriter;
import org.bronzelug.daemon.control.Announcer;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.PlatformWatch;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.Pause;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Keeps this VM's entry, with its current addresses, in the roster: the stored list of the VMs that
 * count for a majority.
 *
 * <p>Invariant: one write adds or removes at most one VM, and only after a majority has confirmed
 * the previous roster. Therefore the majorities of any two rosters in use share a VM, which the
 * staleness bound relies on. A change of addresses of a VM in the roster needs no confirmation of
 * the previous roster: the majorities stay the same, and after a restart of all VMs no VM can be
 * reached at the old addresses. Thread-safe: one attempt at a time.
 */
@Singleton
public final class RosterService implements Service {
    /** The name under which this service is registered with the kernel. */
    public static final String NAME = "roster";

    private static final long CHECK_INTERVAL_MILLIS = 150;

    private final Settings settings;
    private final ControlThread control;
    private final ControlState state;
    private final PlatformWatch platformWatch;
    private final ObjectWriter writer;
    private final Announcer announcer;
    private final PeerNetwork peers;
    private final CallerServer callers;
    private final AtomicBoolean joining = new AtomicBoolean();

    @Inject
    public RosterService(
            Settings settings,
            ControlThread control,
            ControlState state,
            PlatformWatch platformWatch,
            ObjectWriter writer,
            Announcer announcer,
            PeerNetwork peers,
            CallerServer callers) {
        this.settings = settings;
        this.control = control;
        this.state = state;
        this.platformWatch = platformWatch;
        this.writer = writer;
        this.announcer = announcer;
        this.peers = peers;
        this.callers = callers;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        control.scheduleWithFixedDelay(CHECK_INTERVAL_MILLIS, this::check);
    }

    private void check() {
        RosterEntry ownEntry = ownEntry();
        boolean upToDate = ownEntry.equals(state.catalog().roster().get(ownEntry.getVm()));
        if (upToDate || state.isDraining() || !platformWatch.isPlatformReachable()) {
            return;
        }
        if (joining.compareAndSet(false, true)) {
            Optional<VersionedObject> roster = state.configuration().object(ObjectKeys.ROSTER);
            Thread.ofVirtual().name(NAME).start(() -> join(ownEntry, roster));
        }
    }

    private void join(RosterEntry ownEntry, Optional<VersionedObject> current) {
        try {
            RosterObject.Builder updated =
                    current.isPresent()
                            ? RosterObject.parseFrom(current.get().value()).toBuilder()
                            : RosterObject.newBuilder();
            boolean added = setOwnEntry(updated, ownEntry);
            if (added && current.isPresent() && !announcer.announce(List.of(current.get()))) {
                return;
            }
            String mark = UUID.randomUUID().toString();
            long version = current.map(VersionedObject::version).orElse(0L);
            AuditTrail.append(updated, auditEntry(ownEntry, mark, version));
            commit(updated.build(), version, mark);
        } catch (InvalidProtocolBufferException unreadable) {
            EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, ObjectKeys.ROSTER, unreadable);
        } finally {
            joining.set(false);
        }
    }

    private void commit(RosterObject updated, long version, String mark) {
        ObjectWriter.Outcome outcome =
                writer.write(
                        ObjectKeys.ROSTER,
                        version,
                        updated.toByteArray(),
                        value -> AuditTrail.rosterHasMark(value, mark));
        if (outcome instanceof ObjectWriter.Outcome.Committed committed) {
            announcer.announce(List.of(committed.object()));
            EventLog.info(LogEvent.ROSTER_JOINED, "version " + committed.object().version());
            return;
        }
        // Other VMs may join at the same time: a random delay reduces further conflicts.
        Pause.millis(ThreadLocalRandom.current().nextLong(CHECK_INTERVAL_MILLIS));
    }

    /** Sets this VM's entry. Returns whether the roster had no entry of this VM before. */
    private static boolean setOwnEntry(RosterObject.Builder roster, RosterEntry ownEntry) {
        for (int index = 0; index < roster.getVmsCount(); index++) {
            if (roster.getVms(index).getVm().equals(ownEntry.getVm())) {
                roster.setVms(index, ownEntry);
                return false;
            }
        }
        roster.addVms(ownEntry);
        return true;
    }

    private RosterEntry ownEntry() {
        return RosterEntry.newBuilder()
                .setVm(settings.vm())
                .setAvailabilityZone(settings.availabilityZone())
                .setCallerAddress(callers.address())
                .setPeerAddress(peers.address())
                .build();
    }

    private static AuditEntry auditEntry(RosterEntry ownEntry, String mark, long baseVersion) {
        return AuditEntry.newBuilder()
                .setMark(mark)
                .setOperatorName("vm " + ownEntry.getVm())
                .setReason("start")
                .setChange("enter the roster at " + ownEntry.getCallerAddress())
                .setTimeMs(System.currentTimeMillis())
                .setBaseVersion(baseVersion)
                .build();
    }

    @Override
    public void stop() {
        // The control thread ends the checks when it stops.
    }
}
