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
 * Keeps this VM's entry in the roster, with its present addresses.
 *
 * <p>Invariant: one write changes the roster by one VM, and only after the roster before it was
 * confirmed by a majority. So the majorities of any two rosters in use share a VM, which the
 * freshness argument needs. New addresses of a VM that is in the roster need no confirmation: the
 * majorities stay the same, and after a restart of all VMs nobody is at the old addresses.
 * Thread-safe: one attempt at a time.
 */
@Singleton
public final class RosterKeeper implements Service {
    /** Under which the kernel knows this service. */
    public static final String NAME = "roster";

    private static final long CHECK_MILLIS = 150;

    private final Settings settings;
    private final ControlThread control;
    private final ControlState state;
    private final PlatformWatch watch;
    private final ObjectWriter writer;
    private final Announcer announcer;
    private final PeerNetwork peers;
    private final CallerServer callers;
    private final AtomicBoolean busy = new AtomicBoolean();

    @Inject
    public RosterKeeper(
            Settings settings,
            ControlThread control,
            ControlState state,
            PlatformWatch watch,
            ObjectWriter writer,
            Announcer announcer,
            PeerNetwork peers,
            CallerServer callers) {
        this.settings = settings;
        this.control = control;
        this.state = state;
        this.watch = watch;
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
        control.every(CHECK_MILLIS, this::check);
    }

    private void check() {
        RosterEntry own = ownEntry();
        boolean present = own.equals(state.catalog().roster().get(own.getVm()));
        if (present || state.isDraining() || !watch.isReachable()) {
            return;
        }
        if (busy.compareAndSet(false, true)) {
            Optional<VersionedObject> roster = state.configuration().object(ObjectKeys.ROSTER);
            Thread.ofVirtual().name(NAME).start(() -> join(own, roster));
        }
    }

    private void join(RosterEntry own, Optional<VersionedObject> present) {
        try {
            RosterObject.Builder next =
                    present.isPresent()
                            ? RosterObject.parseFrom(present.get().value()).toBuilder()
                            : RosterObject.newBuilder();
            boolean joins = replaceEntry(next, own);
            if (joins && present.isPresent() && !announcer.announce(List.of(present.get()))) {
                return;
            }
            String mark = UUID.randomUUID().toString();
            long version = present.map(VersionedObject::version).orElse(0L);
            AuditTrail.append(next, entry(own, mark, version));
            commit(next.build(), version, mark);
        } catch (InvalidProtocolBufferException unreadable) {
            EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, ObjectKeys.ROSTER, unreadable);
        } finally {
            busy.set(false);
        }
    }

    private void commit(RosterObject next, long version, String mark) {
        ObjectWriter.Outcome outcome =
                writer.write(
                        ObjectKeys.ROSTER,
                        version,
                        next.toByteArray(),
                        value -> AuditTrail.rosterHasMark(value, mark));
        if (outcome instanceof ObjectWriter.Outcome.Committed committed) {
            announcer.announce(List.of(committed.object()));
            EventLog.info(LogEvent.ROSTER_JOINED, "version " + committed.object().version());
            return;
        }
        // Others join too: wait at random, so that a herd's conflicts thin out.
        Pause.millis(ThreadLocalRandom.current().nextLong(CHECK_MILLIS));
    }

    /** Puts this VM's entry in; whether the roster had none of its name. */
    private static boolean replaceEntry(RosterObject.Builder roster, RosterEntry own) {
        for (int index = 0; index < roster.getVmsCount(); index++) {
            if (roster.getVms(index).getVm().equals(own.getVm())) {
                roster.setVms(index, own);
                return false;
            }
        }
        roster.addVms(own);
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

    private static AuditEntry entry(RosterEntry own, String mark, long baseVersion) {
        return AuditEntry.newBuilder()
                .setMark(mark)
                .setOperatorName("vm " + own.getVm())
                .setReason("start")
                .setChange("enter the roster at " + own.getCallerAddress())
                .setTimeMs(System.currentTimeMillis())
                .setBaseVersion(baseVersion)
                .build();
    }

    @Override
    public void stop() {
        // The checks end with the control thread.
    }
}
