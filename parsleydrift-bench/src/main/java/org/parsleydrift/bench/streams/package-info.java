/**
 * Randomised runs of entry and store processes with rolling upgrades of runners, which check that interrupted streams go on
 * at the software version at which they began.
 */
package org.parsleydrift.bench.streams;
