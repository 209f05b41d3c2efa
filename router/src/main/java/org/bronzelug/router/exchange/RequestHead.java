package org.bronzelug.router.exchange;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The decoded head of a caller's request, independent of the platform's header names. Immutable.
 *
 * @param id the id that the caller gave to this attempt of its request
 * @param host the host in lower case, without a port
 * @param path the path without the query
 * @param deadlineMillis how long the caller waits, from the request's arrival
 * @param key the key as the caller presents it; never logged
 * @param prompt the prompt; present if tokens are to be generated
 * @param lastEventId id of the event after which the caller wants a stream to resume
 * @param resumedRequest id of the caller's attempt that brought the first event of that stream;
 *     empty if the caller names none, or not exactly one
 */
public record RequestHead(
        String id,
        String host,
        String path,
        OptionalLong deadlineMillis,
        Optional<String> key,
        Optional<PromptSpec> prompt,
        Optional<String> lastEventId,
        Optional<String> resumedRequest) {}
