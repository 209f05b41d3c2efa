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
import org.bronzelug.core.limit.RateShares;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.configuration.Catalog;
import org.bronzelug.daemon.configuration.ObjectKeys;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.PlatformWatch;
import org.bronzelug.kernel.Service;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

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
    private final ClaimAcquirer taker;
    private final Set<Integer> busy = ConcurrentHashMap.newKeySet();

    @Inject
    public ShareKeeper(
            ControlThread control, ControlState state, PlatformWatch watch, ClaimAcquirer taker) {
        this.control = control;
        this.state = state;
        this.watch = watch;
        this.taker = taker;
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
        boolean held = present.filter(claim -> !state.isDead(claim.holder(), now)).isPresent();
        return held
                ? state.shares().claim(group).isUnconfirmed()
                : state.isFirstChoice(ObjectKeys.share(group), now);
    }

    private void take(int group, Optional<Catalog.Claim> present) {
        String mark = UUID.randomUUID().toString();
        ShareObject share =
                ShareObject.newBuilder()
                        .setGroup(group)
                        .setVm(state.self().vm())
                        .setIncarnation(state.self().incarnation())
                        .setMark(mark)
                        .build();
        try {
            taker.take(
                    new ClaimAcquirer.Attempt(
                            ObjectKeys.share(group),
                            present,
                            share.toByteArray(),
                            value -> hasMark(value, mark),
                            version -> state.shares().take(group, version, present.isPresent()),
                            version -> confirm(group, version)));
        } finally {
            busy.remove(group);
        }
    }

    private static boolean hasMark(byte[] value, String mark) {
        try {
            return ShareObject.parseFrom(value).getMark().equals(mark);
        } catch (InvalidProtocolBufferException unreadable) {
            return false;
        }
    }

    private void confirm(int group, long version) {
        state.shares().confirm(group, version, System.nanoTime());
        EventLog.info(LogEvent.SHARE_TAKEN, "group " + group + ", version " + version);
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
