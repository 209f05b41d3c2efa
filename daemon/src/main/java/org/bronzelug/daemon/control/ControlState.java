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
 * The daemon's control state: configuration, freshness, rate shares, heirs.
 *
 * <p>All methods but {@link #view} run on the control thread. Invariant: the view published is
 * never newer than the state, and its freshness never claims more than the configuration holds.
 */
@Singleton
public final class ControlState {
    /** A VM not heard of for so long is taken for dead. */
    public static final long DEAD_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final MemberIdentity self;
    private final Freshness freshness;
    private final RateShares shares;
    private final Map<MemberIdentity, String> heirs = new HashMap<>();
    private ConfigurationState configuration = ConfigurationState.empty();
    private Catalog catalog = Catalog.of(configuration);
    private boolean draining;
    private final Set<String> unheard = new HashSet<>();
    private boolean wasFresh;
    private volatile ControlView view;

    @Inject
    public ControlState(MemberIdentity self, Settings settings) {
        this.self = self;
        long limit = TimeUnit.MILLISECONDS.toNanos(settings.limits().freshnessMillis());
        this.freshness = new Freshness(self, limit, System.nanoTime());
        this.shares = new RateShares(self, limit);
        publish();
    }

    /** What traffic threads may read at any time. */
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

    /** Installs what is newer; the rest changes nothing. */
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
        boolean held = shares.claim(group).heldBySelf();
        shares.observe(group, claim.get().version(), claim.get().holder());
        if (held && !shares.claim(group).heldBySelf()) {
            EventLog.warn(
                    LogEvent.SHARE_LOST, "group " + group + ", now at " + claim.get().holder());
        }
    }

    /** Notes a platform read that the configuration now covers. */
    public void recordPlatform(long sentNanos) {
        freshness.recordPlatform(sentNanos);
        publish();
    }

    /** Notes a peer's report that the configuration now covers. */
    public void recordReport(ProbeReport report, Collection<String> heirOf, long sentNanos) {
        freshness.recordReport(report, sentNanos);
        for (String former : heirOf) {
            MemberIdentity.parse(former)
                    .ifPresent(identity -> heirs.put(identity, report.peer().vm()));
        }
        publish();
    }

    /** Notes that this VM answers for a VM that has stopped gracefully. */
    public void inherit(MemberIdentity former) {
        heirs.put(former, self.vm());
        publish();
    }

    /** Whether the incarnation given answers no more, and has no heir that does. */
    public boolean isDead(MemberIdentity identity, long nowNanos) {
        String heir = heirs.get(identity);
        if (heir != null && freshness.seenWithin(heir, nowNanos, DEAD_AFTER_NANOS)) {
            return false;
        }
        return freshness.isDead(identity, nowNanos, DEAD_AFTER_NANOS);
    }

    /** The VMs, this one included, that live and are not about to stop. */
    public List<String> availableVms(long nowNanos) {
        List<String> available = new ArrayList<>();
        for (String vm : freshness.roster()) {
            boolean leaving =
                    vm.equals(self.vm())
                            ? draining
                            : freshness.member(vm).filter(MemberStatus::draining).isPresent();
            if (!leaving && freshness.seenWithin(vm, nowNanos, DEAD_AFTER_NANOS)) {
                available.add(vm);
            }
        }
        return available;
    }

    /** Whether this VM is the available one that a key falls to: every VM decides it alike. */
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
        boolean single = freshness.isCaughtUp() && freshness.roster().equals(Set.of(self.vm()));
        OptionalLong asOf = freshness.freshAsOf(now);
        view =
                new ControlView(
                        catalog,
                        single,
                        asOf,
                        freshness.limitNanos(),
                        Map.copyOf(peers),
                        Map.copyOf(heirs));
        logChanges(now);
    }

    private void logChanges(long now) {
        boolean fresh = view.isFresh(now);
        if (fresh != wasFresh) {
            wasFresh = fresh;
            String age = "configuration known as of " + view.freshAsOfNanos() + ", now " + now;
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
                                unheard.remove(vm);
                            } else if (unheard.add(vm)) {
                                EventLog.warn(LogEvent.PEER_UNREACHABLE, "vm " + vm);
                            }
                        });
    }

    private ControlView.PeerView peerView(RosterEntry entry, long now) {
        Optional<MemberStatus> known = freshness.member(entry.getVm());
        return new ControlView.PeerView(
                known.map(MemberStatus::identity),
                entry.getAvailabilityZone(),
                entry.getCallerAddress(),
                entry.getPeerAddress(),
                known.map(MemberStatus::lastSeenNanos)
                        .orElse(now - 2 * ProbeTargets.REMEMBERED_NANOS),
                freshness.seenWithin(entry.getVm(), now, DEAD_AFTER_NANOS),
                known.map(MemberStatus::draining).orElse(false));
    }
}
