package org.bronzelug.core.routing;

/**
 * A store that holds the cache entries of prefixes for all runners. Immutable.
 *
 * @param name the store's name
 * @param address IP:port
 * @param availabilityZone the zone in which the store runs
 */
public record CacheStore(String name, String address, String availabilityZone) {}
