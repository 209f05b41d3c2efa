package org.bronzelug.daemon.operator;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.EndpointStatus;
import org.bronzelug.api.RosterEntry;
import org.bronzelug.api.StatusAnswer;
import org.bronzelug.api.TeamStatus;
import org.bronzelug.api.VmStatus;
import org.bronzelug.core.limit.RateShares;
import org.bronzelug.core.limit.TeamRate;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.ControlView;
import org.bronzelug.daemon.control.PlatformWatch;
import org.bronzelug.daemon.monitor.DaemonMetrics;
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.runner.Endpoint;
import org.bronzelug.daemon.runner.EndpointDirectory;
import org.bronzelug.daemon.settings.Settings;

/** Reports the status of this VM, and of the fleet as this VM sees it. Thread-safe. */
@Singleton
public final class StatusReporter {
    private final Settings settings;
    private final ControlThread control;
    private final ControlState state;
    private final PlatformWatch watch;
    private final PlatformClient platform;
    private final EndpointDirectory directory;
    private final DaemonMetrics metrics;

    @Inject
    public StatusReporter(
            Settings settings,
            ControlThread control,
            ControlState state,
            PlatformWatch watch,
            PlatformClient platform,
            EndpointDirectory directory,
            DaemonMetrics metrics) {
        this.settings = settings;
        this.control = control;
        this.state = state;
        this.watch = watch;
        this.platform = platform;
        this.directory = directory;
        this.metrics = metrics;
    }

    /** Returns the current status. */
    public StatusAnswer status() {
        ControlView view = state.view();
        long now = System.nanoTime();
        StatusAnswer.Builder response =
                StatusAnswer.newBuilder()
                        .setVm(settings.vm())
                        .setIncarnation(state.self().incarnation())
                        .setServing(view.isFresh(now) && !state.isDraining())
                        .setFreshnessMs(freshness(view, now))
                        .setPlatformCalls(platform.calls())
                        .setPlatformReachable(watch.isPlatformReachable());
        view.catalog().roster().values().stream()
                .sorted(java.util.Comparator.comparing(RosterEntry::getVm))
                .forEach(entry -> response.addVms(vmStatus(entry, view, now)));
        for (Endpoint endpoint : directory.all()) {
            response.addEndpoints(endpointStatus(endpoint));
        }
        addTeams(response, view, now);
        return response.build();
    }

    private static long freshness(ControlView view, long now) {
        if (view.caughtUpSingle()) {
            return 0;
        }
        return view.syncedAsOfNanos().isPresent()
                ? TimeUnit.NANOSECONDS.toMillis(now - view.syncedAsOfNanos().getAsLong())
                : -1;
    }

    private VmStatus vmStatus(RosterEntry entry, ControlView view, long now) {
        VmStatus.Builder status =
                VmStatus.newBuilder()
                        .setVm(entry.getVm())
                        .setAvailabilityZone(entry.getAvailabilityZone())
                        .setAddress(entry.getCallerAddress());
        if (entry.getVm().equals(settings.vm())) {
            return status.setState(state.isDraining() ? "stopping" : "live")
                    .setIncarnation(state.self().incarnation())
                    .build();
        }
        ControlView.PeerView peer = view.peers().get(entry.getVm());
        String stateName = peer.live() ? (peer.draining() ? "stopping" : "live") : "unheard";
        return status.setState(stateName)
                .setIncarnation(peer.identity().map(MemberIdentity::incarnation).orElse(""))
                .setHeardMsAgo(TimeUnit.NANOSECONDS.toMillis(now - peer.lastSeenNanos()))
                .build();
    }

    private static EndpointStatus endpointStatus(Endpoint endpoint) {
        String live = endpoint.isLive() ? "live" : "down";
        return EndpointStatus.newBuilder()
                .setPool(endpoint.pool())
                .setEndpoint(endpoint.name())
                .setState(endpoint.isLeaving() ? "leaving" : live)
                .setIncarnation(endpoint.report().incarnation())
                .setInFlight(endpoint.inFlight())
                .setServed(endpoint.served())
                .setWeightsVersion(endpoint.report().weightsVersion())
                .build();
    }

    private void addTeams(StatusAnswer.Builder response, ControlView view, long now) {
        for (Map.Entry<String, TeamRate> team : view.catalog().rates().entrySet()) {
            String teamName = team.getKey();
            TeamStatus.Builder status =
                    TeamStatus.newBuilder()
                            .setTeam(teamName)
                            .setTokensPerSecond(team.getValue().tokensPerSecond())
                            .setBurstTokens(team.getValue().burstTokens())
                            .setTokensHere(tokensHere(teamName, now))
                            .setAdmitted(metrics.admittedCount(teamName))
                            .setRefused(metrics.overRateCount(teamName));
            view.catalog()
                    .share(RateShares.groupOf(teamName))
                    .ifPresent(claim -> status.addHolders(claim.holder().vm()));
            response.addTeams(status);
        }
    }

    private double tokensHere(String team, long now) {
        return control.submit(() -> state.shares().tokens(team, now).orElse(0.0)).join();
    }
}
