package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.Set;
import org.bronzelug.router.stream.PoolVersions;
import org.bronzelug.router.stream.RecentVersions;

/** Passes what the platform keeps of software versions to the traffic thread. Thread-safe. */
final class StoredVersionsAdoption implements StoredVersions.Listener {
    private final EventLoop traffic;
    private final PoolVersions versions;

    StoredVersionsAdoption(EventLoop traffic, PoolVersions versions) {
        this.traffic = traffic;
        this.versions = versions;
    }

    @Override
    public void onRead(RecentVersions stored) {
        traffic.execute(() -> versions.adopt(stored));
    }

    @Override
    public void onStored(String pool, Set<String> stored, Set<String> added) {
        traffic.execute(() -> versions.recordStored(pool, stored, added));
    }
}
