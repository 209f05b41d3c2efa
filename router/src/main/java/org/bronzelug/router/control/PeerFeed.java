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
import org.bronzelug.router.http.SmallHttpServer.SmallResponse;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;

/**
 * Serves the platform's objects to peers by long poll. A peer sends the revision that it has of
 * each kind, and receives the changes after that revision, or all objects of the kind if those
 * changes are no longer kept. If the peer is up to date, the response waits for the next change, at
 * most {@link #MAXIMUM_WAIT_MILLIS}. Confined to the control thread.
 */
final class PeerFeed {
    static final String PATH = "/changes";
    static final String WAIT_PARAMETER = "waitMillis";

    /**
     * A pending poll gets a response without changes after this time, so that the peer sees that
     * this VM is alive.
     */
    private static final long MAXIMUM_WAIT_MILLIS = 5_000;

    /**
     * Maximum number of pending polls; further ones get a response at once, also without changes.
     */
    private static final int MAXIMUM_PENDING_POLLS = 256;

    private static final int SUCCESS = 200;
    private static final long NO_RECENT_RECOVERY = -1;

    private final EventLoop control;
    private final ControlState state;
    private final List<PendingPoll> pendingPolls = new ArrayList<>();

    PeerFeed(EventLoop control, ControlState state) {
        this.control = control;
        this.state = state;
    }

    /**
     * Returns the response to a peer's poll.
     *
     * @param query path and query of the poll: how long to wait, and the known revision of each
     *     kind
     */
    CompletableFuture<SmallResponse> changesResponse(QueryStringDecoder query) {
        Map<String, Long> knownRevisions = new HashMap<>();
        long waitMillis = 0;
        for (Map.Entry<String, List<String>> parameter : query.parameters().entrySet()) {
            long number = number(parameter.getValue());
            if (parameter.getKey().equals(WAIT_PARAMETER)) {
                waitMillis = Math.min(MAXIMUM_WAIT_MILLIS, number);
            } else {
                knownRevisions.put(parameter.getKey(), number);
            }
        }
        PendingPoll poll = new PendingPoll(knownRevisions, new CompletableFuture<>());
        boolean hasChanges = state.kinds().stream().anyMatch(poll::lacks);
        if (hasChanges || waitMillis <= 0 || pendingPolls.size() >= MAXIMUM_PENDING_POLLS) {
            respond(poll);
        } else {
            pendingPolls.add(poll);
            control.schedule(() -> endPoll(poll), waitMillis, TimeUnit.MILLISECONDS);
        }
        return poll.response;
    }

    private static long number(List<String> values) {
        try {
            return Long.parseLong(values.get(0));
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    /** Responds to the pending polls that lack the latest change of a kind. */
    void onChange(String kind) {
        List<PendingPoll> outdated =
                pendingPolls.stream().filter(poll -> poll.lacks(kind)).toList();
        pendingPolls.removeAll(outdated);
        outdated.forEach(this::respond);
    }

    private void endPoll(PendingPoll poll) {
        if (pendingPolls.remove(poll)) {
            respond(poll);
        }
    }

    private void respond(PendingPoll poll) {
        ObjectChanges.Builder changes =
                ObjectChanges.newBuilder()
                        .setRegainedAgeMillis(
                                state.endpointList()
                                        .recoveryAgeMillis(System.nanoTime())
                                        .orElse(NO_RECENT_RECOVERY));
        for (String kind : state.kinds()) {
            long knownRevision = poll.knownRevisions.getOrDefault(kind, 0L);
            changes(kind, state.mirror(kind), knownRevision).ifPresent(changes::addKinds);
        }
        poll.response.complete(
                new SmallResponse(
                        SUCCESS, "application/x-protobuf", changes.build().toByteArray()));
    }

    /**
     * Returns what a peer at a revision lacks of a kind; empty while the mirror is no snapshot.
     * Without this, a peer takes over the mirror's revision but not the changes up to it that a
     * list in several pages has missed.
     */
    static Optional<KindChanges> changes(String kind, ObjectMirror mirror, long sinceRevision) {
        if (!mirror.isSnapshot()) {
            return Optional.empty();
        }
        KindChanges.Builder changes =
                KindChanges.newBuilder().setKind(kind).setRevision(mirror.revision());
        Optional<ItemChanges> since = mirror.changesSince(sinceRevision);
        if (since.isEmpty()) {
            return Optional.of(
                    changes.setWhole(true).addAllObjects(objects(mirror.items())).build());
        }
        for (ItemChanges.ItemChange change : since.get().changes()) {
            if (change.removed()) {
                changes.addRemoved(change.item().name());
            } else {
                changes.addObjects(object(change.item()));
            }
        }
        return Optional.of(changes.build());
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

    /** A poll of a peer that waits for changes after the revisions that the peer has. */
    private final class PendingPoll {
        private final Map<String, Long> knownRevisions;
        private final CompletableFuture<SmallResponse> response;

        private PendingPoll(
                Map<String, Long> knownRevisions, CompletableFuture<SmallResponse> response) {
            this.knownRevisions = knownRevisions;
            this.response = response;
        }

        /**
         * Returns whether objects of the kind have changed after the revision that the peer has.
         */
        private boolean lacks(String kind) {
            ObjectMirror mirror = state.mirror(kind);
            long revision = knownRevisions.getOrDefault(kind, 0L);
            return mirror.isSnapshot()
                    && mirror.revision() > revision
                    && mirror.changesSince(revision)
                            .map(changes -> !changes.changes().isEmpty())
                            .orElse(true);
        }
    }
}
