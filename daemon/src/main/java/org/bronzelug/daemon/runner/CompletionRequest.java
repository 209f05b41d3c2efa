package org.bronzelug.daemon.runner;

import java.util.List;

/**
 * One attempt of a generation. It carries no key and no team name, only the cache salt.
 *
 * @param expectedIncarnation the runner refuses the request if it has another
 * @param startOffset the first chunk wanted
 * @param textSoFar what was generated before
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
