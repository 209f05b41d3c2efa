package org.bronzelug.router.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.api.fleet.v1.KindRevision;
import org.bronzelug.api.fleet.v1.KindSnapshot;
import org.bronzelug.api.fleet.v1.ObjectSnapshot;
import org.bronzelug.api.fleet.v1.StoredObject;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.http.HttpCaller;
import org.bronzelug.router.http.HttpReply;
import org.bronzelug.router.http.HttpResponder.SmallAnswer;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;

/**
 * Reads of the platform's objects between VMs.
 *
 * <p>The failure it answers: the platform turns one VM away and serves the others and the
 * operators, so keys are withdrawn that this VM would go on taking. A peer that knows a later
 * revision has the objects. Confined to the control thread.
 */
final class PeerReads {
    static final String PATH = "/objects";

    /** A read of some hundred kilobytes takes a few milliseconds. */
    private static final long TIMEOUT_MILLIS = 400;

    private static final int SUCCESS = 200;

    private final EventLoop control;
    private final ControlState state;
    private boolean underWay;

    PeerReads(EventLoop control, ControlState state) {
        this.control = control;
        this.state = state;
    }

    /** The answer to a peer's read: all kinds that this VM knows. */
    SmallAnswer answer() {
        ObjectSnapshot.Builder snapshot = ObjectSnapshot.newBuilder();
        for (String kind : state.kinds()) {
            if (state.mirror(kind).isKnown()) {
                snapshot.addKinds(snapshot(kind, state.mirror(kind)));
            }
        }
        return new SmallAnswer(SUCCESS, "application/x-protobuf", snapshot.build().toByteArray());
    }

    private static KindSnapshot snapshot(String kind, ObjectMirror mirror) {
        KindSnapshot.Builder builder =
                KindSnapshot.newBuilder().setKind(kind).setRevision(mirror.revision());
        for (StoredItem item : mirror.items()) {
            builder.addObjects(
                    StoredObject.newBuilder()
                            .setName(item.name())
                            .setRevision(item.revision())
                            .setContent(ByteString.copyFrom(item.content())));
        }
        return builder.build();
    }

    /** Whether a peer's revisions are later than this VM's, in any kind of object. */
    boolean isBehind(List<KindRevision> revisions) {
        for (KindRevision revision : revisions) {
            ObjectMirror mirror = state.mirror(revision.getKind());
            if (mirror != null && mirror.revision() < revision.getRevision()) {
                return true;
            }
        }
        return false;
    }

    /** Reads all objects from a peer, unless a read is under way; what changed is told. */
    void readFrom(String address, KindWatch.Listener listener) {
        if (underWay) {
            return;
        }
        underWay = true;
        HttpCaller caller = new HttpCaller(control, SocketSettings.address(address));
        CompletableFuture<HttpReply> reply =
                caller.call(HttpMethod.GET, PATH, Map.of(), new byte[0], TIMEOUT_MILLIS);
        reply.whenComplete(
                (answer, failure) -> {
                    underWay = false;
                    caller.close();
                    if (failure == null && answer.isSuccess()) {
                        take(answer.body(), listener);
                    }
                });
    }

    private void take(byte[] body, KindWatch.Listener listener) {
        try {
            for (KindSnapshot kind : ObjectSnapshot.parseFrom(body).getKindsList()) {
                ObjectMirror mirror = state.mirror(kind.getKind());
                if (mirror != null && mirror.replaceAll(items(kind))) {
                    listener.onChange(kind.getKind());
                }
            }
        } catch (InvalidProtocolBufferException malformed) {
            EventLog.warn(LogEvent.PEER_REFUSED, "cause=\"" + malformed.getMessage() + "\"");
        }
    }

    private static ItemList items(KindSnapshot kind) {
        return new ItemList(
                kind.getObjectsList().stream()
                        .map(
                                object ->
                                        new StoredItem(
                                                object.getName(),
                                                object.getRevision(),
                                                object.getContent().toByteArray()))
                        .toList(),
                kind.getRevision());
    }
}
