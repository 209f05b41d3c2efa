package org.bronzelug.router.endpoint;

import java.util.OptionalInt;

/**
 * The load that an endpoint reports in a response. Immutable.
 *
 * @param running number of requests that are being served
 * @param waiting number of requests in the endpoint's queue
 * @param slots number of requests that the endpoint serves at the same time
 * @param workPercent how long work takes on the endpoint's machine at this moment, in percent of
 *     the usual time; empty if the endpoint does not share its machine
 */
public record EndpointLoad(int running, int waiting, int slots, OptionalInt workPercent) {}
