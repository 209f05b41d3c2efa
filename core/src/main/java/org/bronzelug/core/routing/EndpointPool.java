package org.bronzelug.core.routing;

import java.util.Optional;

/**
 * A pool of endpoints that serve the same requests. Immutable.
 *
 * @param name the pool's name
 * @param maximumConnections connections that one endpoint accepts from all VMs together
 * @param engine limits of the endpoints' engines; present if the endpoints generate tokens
 */
public record EndpointPool(String name, int maximumConnections, Optional<EngineLimits> engine) {}
