package org.bronzelug.daemon.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.RosterEntry;
import org.bronzelug.core.configuration.ConfigurationState;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.limit.RateShares;
import org.bronzelug.core.membership.Freshness;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.core.membership.MemberStatus;
import org.bronzelug.core.membership.ProbeReport;
import org.bronzelug.core.membership.ProbeTargets;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.daemon.configuration.Catalog;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The daemon's control state: configuration, freshness, rate shares and successors.
 *
 * <p>All methods except {@link #view} run on the control thread. Invariant: the published view is
 * never newer than the state, and its configuration contains all that was in force at the time as
 * of which the view counts as synchronized.
 */
@Singleton
public final class ControlState {
    /** A VM that was not seen for this time, directly or by another VM, counts as dead. */
    public static final long DEAD_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final MemberIdentity self;
    private final Freshness freshness;
    private final RateShares shares;
    private final Map<MemberIdentity, String> successors = new HashMap<>();
    private ConfigurationState configuration = ConfigurationState.empty();
    private Catalog catalog = Catalog.of(configuration);
    private boolean draining;
    private final Set<String> unreachablePeers = new HashSet<>();
    private boolean lastLoggedFresh;
    private volatile ControlView view;

    @Inject
    public ControlState(MemberIdentity self, Settings settings) {
        this.self = self;
        long stalenessBoundNanos =
                TimeUnit.MILLISECONDS.toNanos(settings.limits().freshnessMillis());
        this.freshness = new Freshness(self, stalenessBoundNanos, System.nanoTime());
        this.shares = new RateShares(self, stalenessBoundNanos);
        publish();
    }

    /** Returns the view of the state that traffic threads may read at any time. */
    public ControlView view() {
        return view;
    }

    public MemberIdentity self() {
        return self;
    }

    public ConfigurationState configuration() {
        return configuration;
    }

    public Catalog catalog() {
        return catalog;
    }

    public Freshness freshness() {
        return freshness;
    }

    public RateShares shares() {
        return shares;
    }

    public boolean isDraining() {
        return draining;
    }

    public void startDraining() {
        draining = true;
    }

    /** Installs the objects that are newer than the present ones and ignores the others. */
    public void install(Collection<VersionedObject> objects) {
        ConfigurationState next = configuration.with(objects);
        if (next == configuration) {
            return;
        }
        List<String> changed = new ArrayList<>();
        for (VersionedObject object : objects) {
            if (configuration.version(object.key()) < object.version()) {
                changed.add(object.toString());
            }
        }
        configuration = next;
        catalog = Catalog.of(next);
        freshness.setRoster(catalog.roster().keySet());
        for (int group = 0; group < RateShares.GROUPS; group++) {
            observeShare(group);
        }
        EventLog.info(LogEvent.CONFIGURATION_INSTALLED, String.join(" ", changed));
        publish();
    }

    private void observeShare(int group) {
        Optional<Catalog.Claim> claim = catalog.share(group);
        if (claim.isEmpty() || claim.get().version() <= shares.claim(group).version()) {
            return;
        }
        boolean heldBefore = shares.claim(group).heldBySelf();
        shares.observe(group, claim.get().version(), claim.get().holder());
        if (heldBefore && !shares.claim(group).heldBySelf()) {
            EventLog.warn(
                    LogEvent.SHARE_LOST,
                    "group " + group + ", now held by " + claim.get().holder());
        }
    }

    /**
     * Records a platform read. The caller must have installed the objects that it returned.
     *
     * @param sentNanos the time at which the read was sent
     */
    public void recordPlatformRead(long sentNanos) {
        freshness.recordPlatformRead(sentNanos);
        publish();
    }

    /**
     * Records the report of a peer. The caller must have installed all objects of which the peer
     * has newer versions.
     *
     * @param previousOwners the incarnations whose successor the peer is
     * @param sentNanos the time at which the probe was sent
     */
    public void recordReport(
            ProbeReport report, Collection<String> previousOwners, long sentNanos) {
        freshness.recordReport(report, sentNanos);
        for (String previousOwner : previousOwners) {
            MemberIdentity.parse(previousOwner)
                    .ifPresent(identity -> successors.put(identity, report.peer().vm()));
        }
        publish();
    }

    /** Records that this VM is the successor of a VM that shuts down gracefully. */
    public void takeOwnership(MemberIdentity previousOwner) {
        successors.put(previousOwner, self.vm());
        publish();
    }

    /** Returns whether an incarnation is dead and has no live successor. */
    public boolean isDead(MemberIdentity identity, long nowNanos) {
        String successor = successors.get(identity);
        if (successor != null && freshness.seenWithin(successor, nowNanos, DEAD_AFTER_NANOS)) {
            return false;
        }
        return freshness.isDead(identity, nowNanos, DEAD_AFTER_NANOS);
    }

    /** Returns the VMs that are live and not draining; may include this VM. */
    public List<String> availableVms(long nowNanos) {
        List<String> available = new ArrayList<>();
        for (String vm : freshness.roster()) {
            boolean vmDraining =
                    vm.equals(self.vm())
                            ? draining
                            : freshness.member(vm).filter(MemberStatus::draining).isPresent();
            if (!vmDraining && freshness.seenWithin(vm, nowNanos, DEAD_AFTER_NANOS)) {
                available.add(vm);
            }
        }
        return available;
    }

    /**
     * Returns whether rendezvous hashing over the available VMs assigns a key to this VM. All VMs
     * that see the same VMs as available agree on the result.
     */
    public boolean isFirstChoice(String key, long nowNanos) {
        return Rendezvous.first(key, availableVms(nowNanos)).filter(self.vm()::equals).isPresent();
    }

    /** Publishes the state to the traffic threads. */
    public void publish() {
        long now = System.nanoTime();
        Map<String, ControlView.PeerView> peers = new HashMap<>();
        for (RosterEntry entry : catalog.roster().values()) {
            if (!entry.getVm().equals(self.vm())) {
                peers.put(entry.getVm(), peerView(entry, now));
            }
        }
        boolean caughtUpSingle =
                freshness.isCaughtUp() && freshness.roster().equals(Set.of(self.vm()));
        OptionalLong syncedAsOf = freshness.syncedAsOf(now);
        view =
                new ControlView(
                        catalog,
                        caughtUpSingle,
                        syncedAsOf,
                        freshness.stalenessBoundNanos(),
                        Map.copyOf(peers),
                        Map.copyOf(successors));
        logChanges(now);
    }

    private void logChanges(long now) {
        boolean fresh = view.isFresh(now);
        if (fresh != lastLoggedFresh) {
            lastLoggedFresh = fresh;
            String age =
                    "configuration synchronized as of " + view.syncedAsOfNanos() + ", now " + now;
            if (fresh) {
                EventLog.info(LogEvent.FRESHNESS_REGAINED, age);
            } else {
                EventLog.warn(LogEvent.FRESHNESS_LOST, age);
            }
        }
        view.peers()
                .forEach(
                        (vm, peer) -> {
                            if (peer.live()) {
                                unreachablePeers.remove(vm);
                            } else if (unreachablePeers.add(vm)) {
                                EventLog.warn(LogEvent.PEER_UNREACHABLE, "vm " + vm);
                            }
                        });
    }

    private ControlView.PeerView peerView(RosterEntry entry, long now) {
        Optional<MemberStatus> status = freshness.member(entry.getVm());
        return new ControlView.PeerView(
                status.map(MemberStatus::identity),
                entry.getAvailabilityZone(),
                entry.getCallerAddress(),
                entry.getPeerAddress(),
                status.map(MemberStatus::lastSeenNanos)
                        .orElse(now - 2 * ProbeTargets.RECENTLY_SEEN_NANOS),
                freshness.seenWithin(entry.getVm(), now, DEAD_AFTER_NANOS),
                status.map(MemberStatus::draining).orElse(false));
    }
}
