package org.bronzelug.router.exchange;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The values that the router passes to an endpoint in the headers of a request. Immutable.
 *
 * @param requestId the request's id, as the caller sent it
 * @param endpointId id of the only endpoint incarnation that may execute the request
 * @param team the team whose rate is charged
 * @param priority 0 to 9, where 0 is served first
 * @param weightsVersion the only version of the weights that the response may be generated on
 * @param cacheSalt separates the cached prefixes of different versions and of dedicated teams
 * @param fetchFrom address of the store from which the runner fetches missing cache entries
 * @param saveTo address of the store to which the runner copies the cache entries that it creates
 * @param lastEventId id of the event after which the stream is to resume
 */
public record Dispatch(
        String requestId,
        String endpointId,
        Optional<String> team,
        OptionalInt priority,
        OptionalLong weightsVersion,
        Optional<String> cacheSalt,
        Optional<String> fetchFrom,
        Optional<String> saveTo,
        Optional<String> lastEventId) {}
