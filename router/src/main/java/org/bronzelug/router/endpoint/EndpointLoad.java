package org.bronzelug.router.endpoint;

/**
 * The load that an endpoint reports in a response. Immutable.
 *
 * @param running number of requests that are being served
 * @param waiting number of requests in the endpoint's queue
 * @param slots number of requests that the endpoint serves at the same time
 */
public record EndpointLoad(int running, int waiting, int slots) {}
