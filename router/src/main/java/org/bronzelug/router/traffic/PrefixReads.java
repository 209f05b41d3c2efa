package org.bronzelug.router.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.core.placement.PrefixHash;
import org.bronzelug.core.placement.PrefixLevel;

/**
 * Which prompts were lately sent where, by this VM and by others, and which prefixes the store of
 * cache entries was given.
 *
 * <p>The failure this prevents: each VM saves each prefix once for itself, so the store's link is
 * full of copies just after new weights, when every runner needs it. Confined to the traffic
 * thread.
 */
final class PrefixReads {
    /** Told for four rounds, so that a lost datagram is made good. */
    private static final long TELL_NANOS = 600_000_000L;

    /** The store drops what was not used for long; then a prefix is saved again. */
    private static final long SAVED_NANOS = 30_000_000_000L;

    private static final int MAXIMUM_SAVED = 8_192;

    private final Deque<Told> told = new ArrayDeque<>();
    private final Map<SavedKey, Long> saved =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<SavedKey, Long> eldest) {
                    return size() > MAXIMUM_SAVED;
                }
            };

    /** Whether nobody is known to have saved the prefix under these weights. */
    boolean isUnsaved(PrefixHash prefix, long version, long nowNanos) {
        Long since = saved.get(new SavedKey(prefix, version));
        return since == null || nowNanos - since > SAVED_NANOS;
    }

    /** A prompt is sent to a runner. */
    void record(RunnerChoice choice, String model, boolean save, long nowNanos) {
        PrefixRead.Builder read =
                PrefixRead.newBuilder()
                        .setEndpoint(choice.endpoint().entry().id())
                        .setModel(model)
                        .setVersion(choice.weightsVersion())
                        .setSaved(save);
        for (PrefixLevel level : choice.chain().sharedLevels()) {
            read.addHashes(level.hash().high()).addHashes(level.hash().low());
        }
        told.addLast(new Told(read.build(), nowNanos));
        if (save) {
            recordSaved(
                    choice.chain().deepestSharedLevel().hash(), choice.weightsVersion(), nowNanos);
        }
    }

    private void recordSaved(PrefixHash prefix, long version, long nowNanos) {
        saved.put(new SavedKey(prefix, version), nowNanos);
    }

    /** Another VM has sent a prompt. */
    void recordPeer(PrefixRead read, long nowNanos) {
        List<PrefixHash> hashes = hashes(read);
        if (read.getSaved() && !hashes.isEmpty()) {
            recordSaved(hashes.get(hashes.size() - 1), read.getVersion(), nowNanos);
        }
    }

    static List<PrefixHash> hashes(PrefixRead read) {
        List<PrefixHash> hashes = new ArrayList<>();
        for (int index = 0; index + 1 < read.getHashesCount(); index += 2) {
            hashes.add(new PrefixHash(read.getHashes(index), read.getHashes(index + 1)));
        }
        return hashes;
    }

    /** What the peers are told now. */
    List<PrefixRead> toTell(long nowNanos) {
        while (!told.isEmpty() && nowNanos - told.peekFirst().sinceNanos > TELL_NANOS) {
            told.pollFirst();
        }
        return told.stream().map(Told::read).toList();
    }

    private record Told(PrefixRead read, long sinceNanos) {}

    private record SavedKey(PrefixHash prefix, long version) {}
}
