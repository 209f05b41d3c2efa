package org.bronzelug.router.endpoint;

import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.limit.AdvertisedLimit;

/**
 * What the engine needs to know of an answer's head. Immutable.
 *
 * @param status of HTTP
 * @param requestId that the answer belongs to
 * @param endpointId who answers
 * @param genuine whether it bears the endpoint's own stamp
 * @param notExecuted whether the endpoint states that the request did not run
 * @param load as of this answer
 * @param limit on the requests of all VMs together, as long as answers name it
 * @param weightsVersion that generates the answer
 * @param idleMillis for how long the endpoint keeps the connection open between requests
 * @param keepAlive whether the connection takes another request afterwards
 */
public record EndpointResponse(
        int status,
        Optional<String> requestId,
        Optional<String> endpointId,
        boolean genuine,
        boolean notExecuted,
        Optional<EndpointLoad> load,
        AdvertisedLimit limit,
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
