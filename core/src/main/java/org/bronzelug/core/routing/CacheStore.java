package org.bronzelug.core.routing;

/**
 * A store that keeps prefixes' cache entries for all runners. Immutable.
 *
 * @param name of the store
 * @param address IP:PORT
 * @param availabilityZone where it runs
 */
public record CacheStore(String name, String address, String availabilityZone) {}
