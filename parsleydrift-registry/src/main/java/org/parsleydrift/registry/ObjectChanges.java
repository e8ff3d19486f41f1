package org.parsleydrift.registry;

import java.util.List;

/**
 * Objects of a kind, or their changes.
 *
 * @param objects the objects or changes
 * @param asOf the revision up to which this is complete
 */
public record ObjectChanges(List<SharedObject> objects, long asOf) {}
