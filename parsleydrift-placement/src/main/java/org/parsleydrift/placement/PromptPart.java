package org.parsleydrift.placement;

/**
 * A part of a prompt. Prompts that begin with the same parts share what a runner has read of them.
 *
 * @param id the part's id; the last part of a turn keeps its id while its line of turns extends it
 * @param tokens its length, tokens
 */
public record PromptPart(String id, int tokens) {}
