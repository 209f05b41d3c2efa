package org.bronzelug.daemon.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.ShareObject;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.limit.RateShares;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.daemon.configuration.Catalog;
import org.bronzelug.daemon.configuration.ObjectKeys;
import org.bronzelug.daemon.configuration.ObjectWriter;
import org.bronzelug.daemon.control.Announcer;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.PlatformWatch;
import org.bronzelug.daemon.kernel.Service;
import org.bronzelug.daemon.log.EventLog;
import org.bronzelug.daemon.log.LogEvent;

/**
 * Takes over the rate shares that no living VM holds.
 *
 * <p>The VM that rendezvous hashing names for a group among the living ones takes it, by a
 * conditional update; so of several that try, one wins. State is touched on the control thread; the
 * writes run on threads of their own.
 */
@Singleton
public final class ShareKeeper implements Service {
    /** Under which the kernel knows this service. */
    public static final String NAME = "shares";

    private static final long CHECK_MILLIS = 100;

    private final ControlThread control;
    private final ControlState state;
    private final PlatformWatch watch;
    private final ObjectWriter writer;
    private final Announcer announcer;
    private final Set<Integer> busy = ConcurrentHashMap.newKeySet();

    @Inject
    public ShareKeeper(
            ControlThread control,
            ControlState state,
            PlatformWatch watch,
            ObjectWriter writer,
            Announcer announcer) {
        this.control = control;
        this.state = state;
        this.watch = watch;
        this.writer = writer;
        this.announcer = announcer;
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
        long now = System.nanoTime();
        if (!watch.isReachable() || state.isDraining() || !state.freshness().isFresh(now)) {
            return;
        }
        for (int group : groupsInUse()) {
            if (shouldTake(group, now) && busy.add(group)) {
                Optional<Catalog.Claim> present = state.catalog().share(group);
                Thread.ofVirtual().name(NAME).start(() -> take(group, present));
            }
        }
    }

    private Set<Integer> groupsInUse() {
        Set<Integer> groups = new TreeSet<>();
        for (String team : state.catalog().rates().keySet()) {
            groups.add(RateShares.groupOf(team));
        }
        return groups;
    }

    private boolean shouldTake(int group, long now) {
        Optional<Catalog.Claim> present = state.catalog().share(group);
        boolean held = present.filter(claim -> !state.isGone(claim.holder(), now)).isPresent();
        if (held) {
            return unconfirmed(group);
        }
        List<String> order = Rendezvous.order(ObjectKeys.share(group), state.availableVms(now));
        return !order.isEmpty() && order.get(0).equals(state.self().vm());
    }

    /** Whether this VM is the committed holder but a majority has not confirmed it yet. */
    private boolean unconfirmed(int group) {
        return state.shares().claim(group).heldBySelf()
                && state.shares().claim(group).usableFrom().isEmpty();
    }

    private void take(int group, Optional<Catalog.Claim> present) {
        try {
            MemberIdentity self = state.self();
            boolean own = present.filter(claim -> claim.holder().equals(self)).isPresent();
            Optional<VersionedObject> object = own ? ownObject(group) : write(group, present, self);
            if (object.isEmpty()) {
                return;
            }
            long version = object.get().version();
            if (!own) {
                control.ask(() -> noteTaken(group, version, present.isPresent())).join();
            }
            if (announcer.announce(List.of(object.get()))) {
                control.ask(() -> confirm(group, version)).join();
            }
        } finally {
            busy.remove(group);
        }
    }

    private Optional<VersionedObject> ownObject(int group) {
        return control.ask(() -> state.configuration().object(ObjectKeys.share(group))).join();
    }

    private Optional<VersionedObject> write(
            int group, Optional<Catalog.Claim> present, MemberIdentity self) {
        String mark = UUID.randomUUID().toString();
        ShareObject share =
                ShareObject.newBuilder()
                        .setGroup(group)
                        .setVm(self.vm())
                        .setIncarnation(self.incarnation())
                        .setMark(mark)
                        .build();
        ObjectWriter.Outcome outcome =
                writer.write(
                        ObjectKeys.share(group),
                        present.map(Catalog.Claim::version).orElse(0L),
                        share.toByteArray(),
                        value -> hasMark(value, mark));
        return outcome instanceof ObjectWriter.Outcome.Committed committed
                ? Optional.of(committed.object())
                : Optional.empty();
    }

    private static boolean hasMark(byte[] value, String mark) {
        try {
            return ShareObject.parseFrom(value).getMark().equals(mark);
        } catch (InvalidProtocolBufferException unreadable) {
            return false;
        }
    }

    private boolean noteTaken(int group, long version, boolean hadHolder) {
        state.shares().take(group, version, hadHolder);
        return true;
    }

    private boolean confirm(int group, long version) {
        state.shares().confirm(group, version, System.nanoTime());
        EventLog.info(LogEvent.SHARE_TAKEN, "group " + group + ", version " + version);
        return true;
    }

    /** Which VM holds a team's rate, as far as known here. */
    public static Optional<MemberIdentity> holder(Catalog catalog, String team) {
        return catalog.share(RateShares.groupOf(team)).map(Catalog.Claim::holder);
    }

    /** The groups used here, released for an heir: from now on this VM admits nothing of them. */
    public List<ReleasedShare> releaseAll() {
        return control.ask(this::releaseOnControlThread).join();
    }

    private List<ReleasedShare> releaseOnControlThread() {
        List<ReleasedShare> released = new ArrayList<>();
        long now = System.nanoTime();
        for (int group : groupsInUse()) {
            Optional<MemberIdentity> holder = state.shares().claim(group).holder();
            boolean usable = state.shares().claim(group).usableFrom().isPresent();
            if (usable && holder.isPresent()) {
                long version = state.shares().claim(group).version();
                Map<String, Double> levels =
                        state.shares().release(group, state.catalog().rates(), now);
                released.add(new ReleasedShare(group, version, holder.get(), levels));
            }
        }
        return released;
    }

    @Override
    public void stop() {
        // The checks end with the control thread.
    }
}
