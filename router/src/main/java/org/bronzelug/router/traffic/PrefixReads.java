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
 * Records the prefixes that this VM's prompts made runners prefill recently, to be reported to the
 * peers, and the prefixes that a runner was told to save to the cache store by this VM or a peer.
 *
 * <p>Without the peers' reports, each VM would have every prefix saved once more. The copies would
 * fill the store's link just after a change of weights, when every runner needs it. Confined to the
 * traffic thread.
 */
final class PrefixReads {
    /** Each read is reported in four rounds, to compensate for lost datagrams. */
    private static final long REPORT_NANOS = 600_000_000L;

    /** The store evicts unused entries, so a prefix is saved again after this time. */
    private static final long SAVED_NANOS = 30_000_000_000L;

    private static final int MAXIMUM_SAVED = 8_192;

    private final Deque<RecentRead> recentReads = new ArrayDeque<>();
    private final Map<SavedKey, Long> saved =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<SavedKey, Long> eldest) {
                    return size() > MAXIMUM_SAVED;
                }
            };

    /** Returns whether no runner is known to have saved the prefix under these weights. */
    boolean isUnsaved(PrefixHash prefix, long version, long nowNanos) {
        Long savedNanos = saved.get(new SavedKey(prefix, version));
        return savedNanos == null || nowNanos - savedNanos > SAVED_NANOS;
    }

    /** Records that a runner has prefilled a prompt of this VM. */
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
        recentReads.addLast(new RecentRead(read.build(), nowNanos));
        if (save) {
            recordSaved(
                    choice.chain().deepestSharedLevel().hash(), choice.weightsVersion(), nowNanos);
        }
    }

    private void recordSaved(PrefixHash prefix, long version, long nowNanos) {
        saved.put(new SavedKey(prefix, version), nowNanos);
    }

    /** Records a prefix read that a peer reported. */
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

    /** Returns the reads to report to the peers now, and forgets older ones. */
    List<PrefixRead> readsToReport(long nowNanos) {
        while (!recentReads.isEmpty()
                && nowNanos - recentReads.peekFirst().recordedNanos > REPORT_NANOS) {
            recentReads.pollFirst();
        }
        return recentReads.stream().map(RecentRead::read).toList();
    }

    private record RecentRead(PrefixRead read, long recordedNanos) {}

    private record SavedKey(PrefixHash prefix, long version) {}
}
