package org.bronzelug.router.endpoint;

/**
 * An endpoint's load as it tells it.
 *
 * @param running requests being served
 * @param waiting requests in its queue
 * @param slots that it serves at once
 */
public record EndpointLoad(int running, int waiting, int slots) {}
