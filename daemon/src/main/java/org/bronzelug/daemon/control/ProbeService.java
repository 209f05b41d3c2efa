package org.bronzelug.daemon.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.peer.Acknowledged;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.FetchObjects;
import org.bronzelug.api.peer.ObjectVersion;
import org.bronzelug.api.peer.Objects;
import org.bronzelug.api.peer.Probe;
import org.bronzelug.api.peer.ProbeAnswer;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.core.membership.MemberIndex;
import org.bronzelug.core.membership.ProbeReport;
import org.bronzelug.core.membership.ProbeTargets;
import org.bronzelug.daemon.action.ActionBook;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.Service;

/**
 * Probes other VMs, answers their probes, and brings the configuration level.
 *
 * <p>One exchange carries liveness, freshness and, where the digests differ, the versions needed to
 * level the configuration; a round costs the same whatever the fleet's size. State is touched on
 * the control thread only.
 */
@Singleton
public final class ProbeService implements Service {
    /** Under which the kernel knows this service. */
    public static final String NAME = "probes";

    private static final int PROBES_A_ROUND = 2;
    private static final long TIMEOUT_MILLIS = 800;

    private final Settings settings;
    private final ControlThread control;
    private final ControlState state;
    private final PeerNetwork peers;
    private final ActionBook actions;
    private final RandomGenerator random;

    @Inject
    public ProbeService(
            Settings settings,
            ControlThread control,
            ControlState state,
            PeerNetwork peers,
            ActionBook actions,
            RandomGenerator random) {
        this.settings = settings;
        this.control = control;
        this.state = state;
        this.peers = peers;
        this.actions = actions;
        this.random = random;
        peers.handle(Envelope.BodyCase.PROBE, this::answerProbe);
        peers.handle(Envelope.BodyCase.FETCH_OBJECTS, this::answerFetch);
        peers.handle(Envelope.BodyCase.PUSH_OBJECTS, this::answerPush);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        control.every(settings.limits().probeMillis(), this::probeRound);
    }

    private void probeRound() {
        long now = System.nanoTime();
        List<String> heard = new ArrayList<>();
        List<String> unheard = new ArrayList<>();
        for (ControlView.PeerView peer : state.view().peers().values()) {
            long silence = now - peer.lastSeenNanos();
            boolean lately = silence <= ProbeTargets.REMEMBERED_NANOS;
            (lately ? heard : unheard).add(peer.peerAddress());
        }
        if (heard.isEmpty() && unheard.isEmpty()) {
            unheard.addAll(settings.seedPeers());
        }
        MemberIndex roll = state.freshness().roll();
        ProbeTargets.choose(heard, unheard, PROBES_A_ROUND, random)
                .forEach(address -> probe(address, roll));
        state.publish();
    }

    private void probe(String address, MemberIndex roll) {
        long sent = System.nanoTime();
        Probe probe =
                Probe.newBuilder()
                        .setVm(state.self().vm())
                        .setIncarnation(state.self().incarnation())
                        .setDigest(state.configuration().digest())
                        .setRollDigest(roll.digest())
                        .build();
        peers.exchange(address, Envelope.newBuilder().setProbe(probe), TIMEOUT_MILLIS)
                .whenComplete(
                        (envelope, failure) -> {
                            if (failure == null) {
                                ProbeAnswer answer = envelope.getProbeAnswer();
                                control.run(() -> takeAnswer(address, answer, roll, sent));
                            }
                        });
    }

    private void takeAnswer(String address, ProbeAnswer answer, MemberIndex roll, long sent) {
        List<String> missing = missing(answer);
        if (missing.isEmpty()) {
            state.recordReport(PeerMessages.report(answer, roll), answer.getHeirOfList(), sent);
            return;
        }
        FetchObjects fetch = FetchObjects.newBuilder().addAllKeys(missing).build();
        peers.exchange(address, Envelope.newBuilder().setFetchObjects(fetch), TIMEOUT_MILLIS)
                .whenComplete(
                        (envelope, failure) -> {
                            if (failure == null) {
                                Objects objects = envelope.getObjects();
                                control.run(() -> takeObjects(objects, answer, roll, sent));
                            }
                        });
    }

    /** The keys of which the peer has newer versions than are here. */
    private List<String> missing(ProbeAnswer answer) {
        List<String> missing = new ArrayList<>();
        for (ObjectVersion version : answer.getVersionsList()) {
            if (state.configuration().version(version.getKey()) < version.getVersion()) {
                missing.add(version.getKey());
            }
        }
        return missing;
    }

    private void takeObjects(Objects objects, ProbeAnswer answer, MemberIndex roll, long sent) {
        state.install(PeerMessages.toObjects(objects.getObjectsList()));
        // The report counts only where all that it was based on has arrived.
        if (missing(answer).isEmpty()) {
            state.recordReport(PeerMessages.report(answer, roll), answer.getHeirOfList(), sent);
        }
    }

    private CompletableFuture<Envelope.Builder> answerProbe(Envelope request) {
        return control.ask(
                () -> {
                    long now = System.nanoTime();
                    long digest = state.configuration().digest();
                    MemberIndex roll = state.freshness().roll();
                    ProbeReport report = state.freshness().report(now, state.isDraining());
                    ProbeAnswer.Builder answer =
                            roll.digest() == request.getProbe().getRollDigest()
                                    ? PeerMessages.packedAnswer(report, digest, roll)
                                    : PeerMessages.answer(report, digest);
                    if (digest != request.getProbe().getDigest()) {
                        answer.addAllVersions(versions(state.configuration().objects()));
                    }
                    for (MemberIdentity former : actions.inheritedFrom()) {
                        answer.addHeirOf(former.toString());
                    }
                    return Envelope.newBuilder().setProbeAnswer(answer);
                });
    }

    private static List<ObjectVersion> versions(Collection<VersionedObject> objects) {
        List<ObjectVersion> versions = new ArrayList<>();
        for (VersionedObject object : objects) {
            versions.add(
                    ObjectVersion.newBuilder()
                            .setKey(object.key())
                            .setVersion(object.version())
                            .build());
        }
        return versions;
    }

    private CompletableFuture<Envelope.Builder> answerFetch(Envelope request) {
        return control.ask(
                () -> {
                    List<VersionedObject> found = new ArrayList<>();
                    for (String key : request.getFetchObjects().getKeysList()) {
                        state.configuration().object(key).ifPresent(found::add);
                    }
                    Objects objects =
                            Objects.newBuilder()
                                    .addAllObjects(PeerMessages.toMessages(found))
                                    .build();
                    return Envelope.newBuilder().setObjects(objects);
                });
    }

    private CompletableFuture<Envelope.Builder> answerPush(Envelope request) {
        return control.ask(
                () -> {
                    state.install(
                            PeerMessages.toObjects(request.getPushObjects().getObjectsList()));
                    Acknowledged acknowledged =
                            Acknowledged.newBuilder()
                                    .setIncarnation(state.self().incarnation())
                                    .setSettled(state.freshness().isCaughtUp())
                                    .build();
                    return Envelope.newBuilder().setAcknowledged(acknowledged);
                });
    }

    @Override
    public void stop() {
        // The probes end with the control thread.
    }
}
