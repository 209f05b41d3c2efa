package org.bronzelug.router.relay;

/**
 * The endpoint at the end of a relayed connection. Immutable.
 *
 * @param endpoint id of the endpoint
 * @param bornMillis when the endpoint started, by its own statement
 */
public record RelayTarget(String endpoint, long bornMillis) {}
