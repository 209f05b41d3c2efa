package org.bronzelug.core.routing;

import java.util.Optional;

/**
 * Endpoints that serve the same requests. Immutable.
 *
 * @param name of the pool
 * @param maximumConnections that one endpoint accepts from all VMs together
 * @param engine present where the endpoints generate tokens
 */
public record EndpointPool(String name, int maximumConnections, Optional<EngineLimits> engine) {}
