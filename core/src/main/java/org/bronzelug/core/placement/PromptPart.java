package org.bronzelug.core.placement;

/**
 * One part of a prompt, as identified by the caller. Immutable.
 *
 * @param id equal for parts with equal text
 * @param tokens metered tokens of this part alone
 */
public record PromptPart(String id, int tokens) {}
