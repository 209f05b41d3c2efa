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
 * Acquires the rate shares that no live VM holds. A rate share is the rates of a group of teams;
 * one VM at a time, the holder of its claim, admits requests from it.
 *
 * <p>Rendezvous hashing over the available VMs chooses the VM that acquires a share. It does so by
 * a conditional update, so if several VMs try, one succeeds. The control state is accessed on the
 * control thread only; the writes to the platform run on threads of their own.
 */
@Singleton
public final class ShareService implements Service {
    /** The name under which this service is registered with the kernel. */
    public static final String NAME = "shares";

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final ControlThread control;
    private final ControlState state;
    private final PlatformWatch platformWatch;
    private final ClaimAcquirer claimAcquirer;
    private final Set<Integer> acquiring = ConcurrentHashMap.newKeySet();

    @Inject
    public ShareService(
            ControlThread control,
            ControlState state,
            PlatformWatch platformWatch,
            ClaimAcquirer claimAcquirer) {
        this.control = control;
        this.state = state;
        this.platformWatch = platformWatch;
        this.claimAcquirer = claimAcquirer;
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
        long now = System.nanoTime();
        if (!platformWatch.isPlatformReachable()
                || state.isDraining()
                || !state.freshness().isFresh(now)) {
            return;
        }
        for (int group : groupsInUse()) {
            if (shouldAcquire(group, now) && acquiring.add(group)) {
                Optional<Catalog.Claim> current = state.catalog().share(group);
                Thread.ofVirtual().name(NAME).start(() -> acquire(group, current));
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

    private boolean shouldAcquire(int group, long now) {
        Optional<Catalog.Claim> current = state.catalog().share(group);
        boolean held = current.filter(claim -> !state.isDead(claim.holder(), now)).isPresent();
        return held
                ? state.shares().claim(group).isUnconfirmed()
                : state.isFirstChoice(ObjectKeys.share(group), now);
    }

    private void acquire(int group, Optional<Catalog.Claim> current) {
        String mark = UUID.randomUUID().toString();
        ShareObject share =
                ShareObject.newBuilder()
                        .setGroup(group)
                        .setVm(state.self().vm())
                        .setIncarnation(state.self().incarnation())
                        .setMark(mark)
                        .build();
        try {
            claimAcquirer.acquire(
                    new ClaimAcquirer.Attempt(
                            ObjectKeys.share(group),
                            current,
                            share.toByteArray(),
                            value -> hasMark(value, mark),
                            version ->
                                    state.shares()
                                            .recordAcquisition(group, version, current.isPresent()),
                            version -> confirm(group, version)));
        } finally {
            acquiring.remove(group);
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

    /**
     * Releases the shares that this VM uses and returns them for transfer to its successor. From
     * now on this VM admits no request from them.
     */
    public List<ReleasedShare> releaseAll() {
        return control.submit(this::releaseOnControlThread).join();
    }

    private List<ReleasedShare> releaseOnControlThread() {
        List<ReleasedShare> released = new ArrayList<>();
        long now = System.nanoTime();
        for (int group : groupsInUse()) {
            Optional<MemberIdentity> holder = state.shares().claim(group).holder();
            boolean inUse = state.shares().claim(group).usableFrom().isPresent();
            if (inUse && holder.isPresent()) {
                long version = state.shares().claim(group).version();
                Map<String, Double> tokensByTeam =
                        state.shares().release(group, state.catalog().rates(), now);
                released.add(new ReleasedShare(group, version, holder.get(), tokensByTeam));
            }
        }
        return released;
    }

    @Override
    public void stop() {
        // The control thread ends the checks when it stops.
    }
}
