package org.bronzelug.core.placement;

/**
 * One nested level of a prompt: all text from the prompt's start to the end of a segment.
 *
 * @param hash hash of all text up to the level's end, salted with team, model and weights version
 * @param tokens metered tokens up to the level's end
 */
public record PrefixLevel(PrefixHash hash, int tokens) {}
