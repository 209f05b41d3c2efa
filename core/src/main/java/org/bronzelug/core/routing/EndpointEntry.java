package org.bronzelug.core.routing;

import java.util.Map;
import java.util.Set;

/**
 * An endpoint's own entry in the platform's list of endpoints.
 *
 * <p>Invariant: a socket can be connected to the address, a header can contain the id, and the
 * numbers are in their ranges. Without this, one entry makes an update fail for all endpoints, at
 * the step that can't use its value. Immutable.
 *
 * @param id id of this incarnation of the endpoint
 * @param pool the pool to which the endpoint belongs
 * @param address IP:port
 * @param availabilityZone the zone in which the endpoint runs
 * @param softwareVersion version of the software that the endpoint runs; empty if it names none
 * @param slots requests that the endpoint serves concurrently
 * @param draining whether the endpoint is leaving and accepts no new requests
 * @param bornMillis start time of the endpoint, which differs for another start under the same id
 * @param weights version of each model's weights, as of the entry's last change
 */
public record EndpointEntry(
        String id,
        String pool,
        String address,
        String availabilityZone,
        String softwareVersion,
        int slots,
        boolean draining,
        long bornMillis,
        Map<String, Long> weights) {
    /** Sums and products of the slots of a pool's endpoints fit into a long, and into an int. */
    public static final int MAXIMUM_SLOTS = 100_000;

    /**
     * Length of an id, and of the names that an entry contains. Ids and names are sent to other VMs
     * in one datagram, and versions of software are stored in one object for each pool.
     */
    public static final int MAXIMUM_NAME_CHARACTERS = 256;

    /** More models than endpoints serve at a time. */
    private static final int MAXIMUM_OBSERVED_MODELS = 64;

    /**
     * @throws IllegalArgumentException if a value is out of its range
     */
    public EndpointEntry {
        boolean valid =
                isValidId(id)
                        && isShort(pool)
                        && isShort(availabilityZone)
                        && isShort(softwareVersion)
                        && weights.keySet().stream().allMatch(EndpointEntry::isShort)
                        && SocketAddressText.isValid(address)
                        && slots >= 1
                        && slots <= MAXIMUM_SLOTS
                        && bornMillis >= 0;
        if (!valid) {
            throw new IllegalArgumentException(
                    "no endpoint: a value is out of its range, or a name too long; id=" + id);
        }
        weights = Map.copyOf(weights);
    }

    private static boolean isShort(String name) {
        return name.length() <= MAXIMUM_NAME_CHARACTERS;
    }

    /**
     * Returns whether to record the version of a model's weights that the endpoint has stated.
     * Callers choose the names of models: of those that the entry doesn't name, few are recorded,
     * and none that an entry can't contain.
     *
     * @param recorded the models of which a version is recorded already
     */
    public boolean mayRecordWeights(String model, Set<String> recorded) {
        boolean room = recorded.contains(model) || recorded.size() < MAXIMUM_OBSERVED_MODELS;
        return isShort(model) && (weights.containsKey(model) || room);
    }

    /** Returns whether a header can contain the id: visible ASCII characters, not too many. */
    public static boolean isValidId(String id) {
        return !id.isEmpty() && isShort(id) && id.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    /** Returns whether the other entry describes the same start of the same endpoint. */
    public boolean isSameStart(EndpointEntry other) {
        return bornMillis == other.bornMillis && address.equals(other.address);
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public String toString() {
        return "id="
                + id
                + (" pool=" + pool)
                + (" address=" + address)
                + (" availabilityZone=" + availabilityZone)
                + (" softwareVersion=" + softwareVersion)
                + (" slots=" + slots)
                + (" draining=" + draining)
                + (" bornMillis=" + bornMillis)
                + (" weights=" + weights);
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public boolean equals(Object object) {
        return object instanceof EndpointEntry other
                && id.equals(other.id)
                && pool.equals(other.pool)
                && address.equals(other.address)
                && availabilityZone.equals(other.availabilityZone)
                && softwareVersion.equals(other.softwareVersion)
                && slots == other.slots
                && draining == other.draining
                && bornMillis == other.bornMillis
                && weights.equals(other.weights);
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }
}
