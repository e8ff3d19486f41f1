package org.parsleydrift.registry;

import java.util.List;

/**
 * Objects of one kind, or changes to them.
 *
 * @param objects the objects or changes
 * @param asOf revision up to which the objects or changes are complete
 */
public record ObjectChanges(List<SharedObject> objects, long asOf) {}
