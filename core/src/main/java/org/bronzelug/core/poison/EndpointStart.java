package org.bronzelug.core.poison;

/**
 * One start of an endpoint. Immutable.
 *
 * @param id the endpoint's id
 * @param bornMillis when the endpoint started, as it says
 */
public record EndpointStart(String id, long bornMillis) {}
