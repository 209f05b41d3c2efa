package org.bronzelug.router.exchange;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the engine needs to know of a request. Immutable.
 *
 * @param id of this attempt of the caller
 * @param host lower case, without a port
 * @param path without the query
 * @param deadlineMillis how long the caller waits, from the request's arrival
 * @param key as the caller presents it; never logged
 * @param prompt present where tokens are to be generated
 * @param lastEventId the event after which the caller wants a stream to go on
 */
public record RequestHead(
        String id,
        String host,
        String path,
        OptionalLong deadlineMillis,
        Optional<String> key,
        Optional<PromptSpec> prompt,
        Optional<String> lastEventId) {}
