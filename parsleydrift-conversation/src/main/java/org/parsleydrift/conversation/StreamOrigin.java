package org.parsleydrift.conversation;

import java.util.List;

/**
 * The service and the software version of the runners at which an event stream began, and at which alone it can be
 * continued. Immutable once written.
 *
 * @param stream the ID of the attempt that brings or brought the first event
 * @param service the service of the runner
 * @param softwareVersion the version of the runner's software
 */
public record StreamOrigin(String stream, String service, String softwareVersion) {
    /** Returns the service and the software version, which streams that began alike share. */
    List<String> place() {
        return List.of(service, softwareVersion);
    }
}
