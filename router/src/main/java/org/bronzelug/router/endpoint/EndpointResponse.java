package org.bronzelug.router.endpoint;

import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.RequestedBackoff;

/**
 * The decoded head of an endpoint's response, independent of the platform's header names.
 * Immutable.
 *
 * @param status the HTTP status code
 * @param requestId id of the request that the response belongs to
 * @param endpointId id of the endpoint incarnation that responded
 * @param genuine whether the response has the stamp header, which only the endpoint itself sets
 * @param notExecuted whether the endpoint states that it did not execute the request
 * @param load the endpoint's load at the time of the response
 * @param limit the limit on the requests of all VMs together, which holds until a later response
 *     has another one or none
 * @param rejectionTolerance rejections in a second above which the endpoint fails, from all VMs
 *     together; holds for the whole pool until a later response of the endpoint has another or none
 * @param backoff the time for which the endpoint asks this VM to send it no more requests
 * @param leaving whether the endpoint is about to leave and accepts no new requests
 * @param weightsVersion the version of the weights that the response is generated on
 * @param idleMillis how long the endpoint keeps an idle connection open
 * @param keepAlive whether the connection can carry another request after the response
 */
public record EndpointResponse(
        int status,
        Optional<String> requestId,
        Optional<String> endpointId,
        boolean genuine,
        boolean notExecuted,
        Optional<EndpointLoad> load,
        AdvertisedLimit limit,
        AdvertisedLimit rejectionTolerance,
        RequestedBackoff backoff,
        boolean leaving,
        OptionalLong weightsVersion,
        OptionalLong idleMillis,
        boolean keepAlive) {
    private static final int SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    public boolean isSuccess() {
        return status >= SUCCESS && status < FIRST_REDIRECT;
    }

    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
