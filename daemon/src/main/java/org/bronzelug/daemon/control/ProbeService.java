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
import org.bronzelug.daemon.action.SharedActionLedger;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.Service;

/**
 * Probes other VMs, answers their probes, and synchronizes the configuration with them.
 *
 * <p>One exchange carries liveness, freshness and, if the digests of the two configurations differ,
 * the object versions needed to synchronize them. The number of probes in a round does not depend
 * on the number of VMs. The control state is accessed on the control thread only.
 */
@Singleton
public final class ProbeService implements Service {
    /** The name under which this service is registered with the kernel. */
    public static final String NAME = "probes";

    private static final int PROBES_PER_ROUND = 2;
    private static final long TIMEOUT_MILLIS = 800;

    private final Settings settings;
    private final ControlThread control;
    private final ControlState state;
    private final PeerNetwork peers;
    private final SharedActionLedger actions;
    private final RandomGenerator random;

    @Inject
    public ProbeService(
            Settings settings,
            ControlThread control,
            ControlState state,
            PeerNetwork peers,
            SharedActionLedger actions,
            RandomGenerator random) {
        this.settings = settings;
        this.control = control;
        this.state = state;
        this.peers = peers;
        this.actions = actions;
        this.random = random;
        peers.setHandler(Envelope.BodyCase.PROBE, this::handleProbe);
        peers.setHandler(Envelope.BodyCase.FETCH_OBJECTS, this::handleFetch);
        peers.setHandler(Envelope.BodyCase.PUSH_OBJECTS, this::handlePush);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        control.scheduleWithFixedDelay(settings.limits().probeMillis(), this::probeRound);
    }

    private void probeRound() {
        long now = System.nanoTime();
        List<String> recentlySeen = new ArrayList<>();
        List<String> notRecentlySeen = new ArrayList<>();
        for (ControlView.PeerView peer : state.view().peers().values()) {
            long silenceNanos = now - peer.lastSeenNanos();
            boolean recent = silenceNanos <= ProbeTargets.RECENTLY_SEEN_NANOS;
            (recent ? recentlySeen : notRecentlySeen).add(peer.peerAddress());
        }
        if (recentlySeen.isEmpty() && notRecentlySeen.isEmpty()) {
            notRecentlySeen.addAll(settings.seedPeers());
        }
        MemberIndex memberIndex = state.freshness().memberIndex();
        ProbeTargets.choose(recentlySeen, notRecentlySeen, PROBES_PER_ROUND, random)
                .forEach(address -> probe(address, memberIndex));
        state.publish();
    }

    private void probe(String address, MemberIndex memberIndex) {
        long sentNanos = System.nanoTime();
        Probe probe =
                Probe.newBuilder()
                        .setVm(state.self().vm())
                        .setIncarnation(state.self().incarnation())
                        .setDigest(state.configuration().digest())
                        .setRollDigest(memberIndex.digest())
                        .build();
        peers.exchange(address, Envelope.newBuilder().setProbe(probe), TIMEOUT_MILLIS)
                .whenComplete(
                        (envelope, failure) -> {
                            if (failure == null) {
                                ProbeAnswer answer = envelope.getProbeAnswer();
                                control.run(
                                        () ->
                                                handleAnswer(
                                                        address, answer, memberIndex, sentNanos));
                            }
                        });
    }

    private void handleAnswer(
            String address, ProbeAnswer answer, MemberIndex memberIndex, long sentNanos) {
        List<String> keys = outdatedKeys(answer);
        if (keys.isEmpty()) {
            state.recordReport(
                    PeerMessages.report(answer, memberIndex), answer.getHeirOfList(), sentNanos);
            return;
        }
        FetchObjects fetch = FetchObjects.newBuilder().addAllKeys(keys).build();
        peers.exchange(address, Envelope.newBuilder().setFetchObjects(fetch), TIMEOUT_MILLIS)
                .whenComplete(
                        (envelope, failure) -> {
                            if (failure == null) {
                                Objects objects = envelope.getObjects();
                                control.run(
                                        () ->
                                                handleObjects(
                                                        objects, answer, memberIndex, sentNanos));
                            }
                        });
    }

    /** Returns the keys of the objects of which the peer has a newer version than this VM. */
    private List<String> outdatedKeys(ProbeAnswer answer) {
        List<String> keys = new ArrayList<>();
        for (ObjectVersion version : answer.getVersionsList()) {
            if (state.configuration().version(version.getKey()) < version.getVersion()) {
                keys.add(version.getKey());
            }
        }
        return keys;
    }

    private void handleObjects(
            Objects objects, ProbeAnswer answer, MemberIndex memberIndex, long sentNanos) {
        state.install(PeerMessages.toObjects(objects.getObjectsList()));
        // Records the report only if all objects that it is based on have arrived.
        if (outdatedKeys(answer).isEmpty()) {
            state.recordReport(
                    PeerMessages.report(answer, memberIndex), answer.getHeirOfList(), sentNanos);
        }
    }

    private CompletableFuture<Envelope.Builder> handleProbe(Envelope request) {
        return control.submit(
                () -> {
                    long now = System.nanoTime();
                    long digest = state.configuration().digest();
                    MemberIndex memberIndex = state.freshness().memberIndex();
                    ProbeReport report = state.freshness().report(now, state.isDraining());
                    ProbeAnswer.Builder answer =
                            memberIndex.digest() == request.getProbe().getRollDigest()
                                    ? PeerMessages.packedAnswer(report, digest, memberIndex)
                                    : PeerMessages.answer(report, digest);
                    if (digest != request.getProbe().getDigest()) {
                        answer.addAllVersions(versions(state.configuration().objects()));
                    }
                    for (MemberIdentity previousOwner : actions.previousOwners()) {
                        answer.addHeirOf(previousOwner.toString());
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

    private CompletableFuture<Envelope.Builder> handleFetch(Envelope request) {
        return control.submit(
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

    private CompletableFuture<Envelope.Builder> handlePush(Envelope request) {
        return control.submit(
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
        // The control thread ends the probes when it stops.
    }
}
