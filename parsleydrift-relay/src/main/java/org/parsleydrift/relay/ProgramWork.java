package org.parsleydrift.relay;

import org.parsleydrift.placement.WorkKey;

/**
 * A piece of work and the program that it belongs to.
 *
 * @param key key of the work
 * @param program the program with its owner, as at the store VMs; empty if the work is shared
 */
record ProgramWork(WorkKey key, String program) {}
