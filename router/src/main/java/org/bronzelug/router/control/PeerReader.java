package org.bronzelug.router.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.bronzelug.api.fleet.v1.KindChanges;
import org.bronzelug.api.fleet.v1.KindRevision;
import org.bronzelug.api.fleet.v1.ObjectChanges;
import org.bronzelug.api.fleet.v1.StoredObject;
import org.bronzelug.router.http.HttpClientResponse;
import org.bronzelug.router.http.PooledHttpClient;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;

/**
 * Reads the platform's objects from a peer into this VM's mirrors. A read sends the revision of
 * each mirror and applies the changes in the response; a mirror ignores a response that is older
 * than its own revision, so a read from a peer that is behind changes nothing. Confined to the
 * control thread.
 */
final class PeerReader {
    /**
     * Time for a response beyond the wait for a change: a full copy of some hundred kilobytes takes
     * a few milliseconds, longer on a slow link.
     */
    private static final long RESPONSE_MILLIS = 500;

    private final EventLoop control;
    private final ControlState state;
    private final Consumer<String> onChange;

    /**
     * @param onChange receives each kind whose objects have changed
     */
    PeerReader(EventLoop control, ControlState state, Consumer<String> onChange) {
        this.control = control;
        this.state = state;
        this.onChange = onChange;
    }

    /** Returns a connection to the peer at an address. */
    PooledHttpClient connect(String address) {
        return new PooledHttpClient(control, SocketSettings.address(address));
    }

    /** Returns whether any of a peer's revisions is later than this VM's revision of that kind. */
    boolean isBehind(List<KindRevision> revisions) {
        for (KindRevision revision : revisions) {
            ObjectMirror mirror = state.mirror(revision.getKind());
            if (mirror != null && mirror.revision() < revision.getRevision()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Reads once. The future fails with an {@link IOException} if no complete response arrives.
     *
     * @param waitMillis how long the peer may wait for a change
     */
    CompletableFuture<Void> read(PooledHttpClient peer, long waitMillis) {
        StringBuilder path = new StringBuilder(PeerFeed.PATH);
        path.append('?').append(PeerFeed.WAIT_PARAMETER).append('=').append(waitMillis);
        for (String kind : state.kinds()) {
            path.append('&').append(kind).append('=').append(state.mirror(kind).snapshotRevision());
        }
        return peer.call(
                        HttpMethod.GET,
                        path.toString(),
                        Map.of(),
                        new byte[0],
                        waitMillis + RESPONSE_MILLIS)
                .thenCompose(this::apply);
    }

    private CompletableFuture<Void> apply(HttpClientResponse response) {
        if (!response.isSuccess()) {
            return CompletableFuture.failedFuture(
                    new IOException(
                            "peer responded with status " + response.status() + " to a read"));
        }
        ObjectChanges changes;
        try {
            changes = ObjectChanges.parseFrom(response.body());
        } catch (InvalidProtocolBufferException malformed) {
            return CompletableFuture.failedFuture(malformed);
        }
        if (changes.getRegainedAgeMillis() >= 0) {
            state.endpointList()
                    .recordPlatformRecovery(changes.getRegainedAgeMillis(), System.nanoTime());
        }
        for (KindChanges kind : changes.getKindsList()) {
            ObjectMirror mirror = state.mirror(kind.getKind());
            if (mirror != null && apply(mirror, kind)) {
                onChange.accept(kind.getKind());
            }
        }
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Applies what a peer has returned of a kind.
     *
     * @return whether any object has changed, or peers can read the mirror again
     */
    static boolean apply(ObjectMirror mirror, KindChanges kind) {
        List<StoredItem> objects = kind.getObjectsList().stream().map(PeerReader::item).toList();
        if (kind.getWhole()) {
            return mirror.replaceAll(new ItemList(objects, kind.getRevision()));
        }
        List<ItemChanges.ItemChange> changes = new ArrayList<>();
        objects.forEach(item -> changes.add(new ItemChanges.ItemChange(item, false)));
        for (String name : kind.getRemovedList()) {
            StoredItem removed = new StoredItem(name, kind.getRevision(), new byte[0]);
            changes.add(new ItemChanges.ItemChange(removed, true));
        }
        return mirror.applyOutcome(new ItemChanges(changes, kind.getRevision()));
    }

    private static StoredItem item(StoredObject object) {
        return new StoredItem(
                object.getName(), object.getRevision(), object.getContent().toByteArray());
    }
}
