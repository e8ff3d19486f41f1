package org.parsleydrift.kernel.upstream;

/**
 * Memory that an engine holds for an owner.
 *
 * @param owner the owner given in the turn request: the program id
 * @param tokens the number of tokens held
 */
public record EngineMemory(String owner, int tokens) {}
