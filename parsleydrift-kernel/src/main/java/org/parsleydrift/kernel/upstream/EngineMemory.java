package org.parsleydrift.kernel.upstream;

/**
 * A piece of memory that an engine holds for somebody.
 *
 * @param owner the tag given with the turn: program id
 * @param tokens how many tokens it spans
 */
public record EngineMemory(String owner, int tokens) {}
