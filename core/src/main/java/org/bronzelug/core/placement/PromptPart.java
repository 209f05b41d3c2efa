package org.bronzelug.core.placement;

/**
 * One part of a prompt, as its caller names it.
 *
 * @param id equal for equal text
 * @param tokens of this part alone
 */
public record PromptPart(String id, int tokens) {}
