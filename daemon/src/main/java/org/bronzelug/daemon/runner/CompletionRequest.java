package org.bronzelug.daemon.runner;

import java.util.List;

/**
 * The request for one attempt of a generation. It carries no key and no team name, only the cache
 * salt.
 *
 * @param expectedIncarnation the incarnation that the runner must have; a runner with another one
 *     rejects the request
 * @param startOffset the offset of the first chunk to generate
 * @param textSoFar the text of the chunks before {@code startOffset}
 */
public record CompletionRequest(
        String requestId,
        String expectedIncarnation,
        String cacheSalt,
        List<String> segments,
        int maximumTokens,
        int startOffset,
        String textSoFar,
        int priority) {}
