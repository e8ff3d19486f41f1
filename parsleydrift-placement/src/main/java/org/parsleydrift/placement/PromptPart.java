package org.parsleydrift.placement;

/**
 * A part of a prompt. Prompts that begin with the same parts share a prefix in the cache of a runner.
 *
 * @param id id of the part; the last part of a turn keeps its id while later turns extend it
 * @param tokens length of the part, tokens
 */
public record PromptPart(String id, int tokens) {}
