package org.bronzelug.router.control;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.KindChanges;
import org.bronzelug.api.fleet.v1.ObjectChanges;
import org.bronzelug.api.fleet.v1.StoredObject;
import org.bronzelug.router.http.HttpResponder.SmallResponse;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;

/**
 * Tells peers what has changed in the platform's objects since the revisions that they know; a peer
 * that knows all waits for the next change. Confined to the control thread.
 */
final class PeerFeed {
    static final String PATH = "/changes";
    static final String WAIT_PARAMETER = "waitMillis";

    /** A waiting peer is answered with no change after this, so that it sees this VM alive. */
    private static final long MAXIMUM_WAIT_MILLIS = 5_000;

    /** Peers that wait at once; the next ones are answered at once, with no change. */
    private static final int MAXIMUM_WAITING = 256;

    private static final int SUCCESS = 200;
    private static final long NOT_REGAINED = -1;

    private final EventLoop control;
    private final ControlState state;
    private final List<Waiting> waiting = new ArrayList<>();

    PeerFeed(EventLoop control, ControlState state) {
        this.control = control;
        this.state = state;
    }

    /**
     * @param query path and query of a peer's read: the wait, and a revision for each kind known
     */
    CompletableFuture<SmallResponse> answer(QueryStringDecoder query) {
        Map<String, Long> known = new HashMap<>();
        long waitMillis = 0;
        for (Map.Entry<String, List<String>> parameter : query.parameters().entrySet()) {
            long number = number(parameter.getValue());
            if (parameter.getKey().equals(WAIT_PARAMETER)) {
                waitMillis = Math.min(MAXIMUM_WAIT_MILLIS, number);
            } else {
                known.put(parameter.getKey(), number);
            }
        }
        Waiting peer = new Waiting(known, new CompletableFuture<>());
        boolean news = state.kinds().stream().anyMatch(peer::lacks);
        if (news || waitMillis <= 0 || waiting.size() >= MAXIMUM_WAITING) {
            answer(peer);
        } else {
            waiting.add(peer);
            control.schedule(() -> endWait(peer), waitMillis, TimeUnit.MILLISECONDS);
        }
        return peer.answer;
    }

    private static long number(List<String> values) {
        try {
            return Long.parseLong(values.get(0));
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    /** A kind has changed: those who wait for it are told. */
    void onChange(String kind) {
        List<Waiting> told = waiting.stream().filter(peer -> peer.lacks(kind)).toList();
        waiting.removeAll(told);
        told.forEach(this::answer);
    }

    private void endWait(Waiting peer) {
        if (waiting.remove(peer)) {
            answer(peer);
        }
    }

    private void answer(Waiting peer) {
        ObjectChanges.Builder changes =
                ObjectChanges.newBuilder()
                        .setRegainedAgeMillis(
                                state.endpointList()
                                        .regainedAgeMillis(System.nanoTime())
                                        .orElse(NOT_REGAINED));
        for (String kind : state.kinds()) {
            ObjectMirror mirror = state.mirror(kind);
            if (mirror.isKnown()) {
                changes.addKinds(changes(kind, mirror, peer.known.getOrDefault(kind, 0L)));
            }
        }
        peer.answer.complete(
                new SmallResponse(
                        SUCCESS, "application/x-protobuf", changes.build().toByteArray()));
    }

    private static KindChanges changes(String kind, ObjectMirror mirror, long sinceRevision) {
        KindChanges.Builder changes =
                KindChanges.newBuilder().setKind(kind).setRevision(mirror.revision());
        Optional<ItemChanges> since = mirror.changesSince(sinceRevision);
        if (since.isEmpty()) {
            return changes.setWhole(true).addAllObjects(objects(mirror.items())).build();
        }
        for (ItemChanges.ItemChange change : since.get().changes()) {
            if (change.removed()) {
                changes.addRemoved(change.item().name());
            } else {
                changes.addObjects(object(change.item()));
            }
        }
        return changes.build();
    }

    private static List<StoredObject> objects(Collection<StoredItem> items) {
        return items.stream().map(PeerFeed::object).toList();
    }

    private static StoredObject object(StoredItem item) {
        return StoredObject.newBuilder()
                .setName(item.name())
                .setRevision(item.revision())
                .setContent(ByteString.copyFrom(item.content()))
                .build();
    }

    /** A peer that is to be told of changes after the revisions that it knows. */
    private final class Waiting {
        private final Map<String, Long> known;
        private final CompletableFuture<SmallResponse> answer;

        private Waiting(Map<String, Long> known, CompletableFuture<SmallResponse> answer) {
            this.known = known;
            this.answer = answer;
        }

        /** Whether objects of the kind were changed that the peer does not know. */
        private boolean lacks(String kind) {
            ObjectMirror mirror = state.mirror(kind);
            long revision = known.getOrDefault(kind, 0L);
            return mirror.isKnown()
                    && mirror.revision() > revision
                    && mirror.changesSince(revision)
                            .map(changes -> !changes.changes().isEmpty())
                            .orElse(true);
        }
    }
}
