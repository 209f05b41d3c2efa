package org.bronzelug.core.poison;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The keys of what may crash endpoints about one request: the shared parts of its prompt, and the
 * request itself. The latter is computed when it is first needed, and once. Not thread-safe.
 */
public final class RequestKeys {
    private final List<PartKey> parts;
    private final Supplier<PartKey> computeRequest;
    private Optional<PartKey> request = Optional.empty();

    /**
     * @param computeRequest returns the key of the request itself; called at most once
     */
    public RequestKeys(List<PartKey> parts, Supplier<PartKey> computeRequest) {
        this.parts = List.copyOf(parts);
        this.computeRequest = computeRequest;
    }

    public List<PartKey> parts() {
        return parts;
    }

    /** Returns the key of the request itself, which all its attempts have in common. */
    public PartKey request() {
        if (request.isEmpty()) {
            request = Optional.of(computeRequest.get());
        }
        return request.get();
    }
}
