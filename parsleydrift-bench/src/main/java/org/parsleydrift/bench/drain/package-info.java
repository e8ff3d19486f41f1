/** A model of nodes that drain in turn, their callers and their runners, which compares rules for the end of a drain. */
package org.parsleydrift.bench.drain;
