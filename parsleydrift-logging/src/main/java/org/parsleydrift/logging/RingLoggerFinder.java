package org.parsleydrift.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import org.parsleydrift.kernel.SystemClock;

/** Gives every {@link System.Logger} of the process the same bounded log on standard output. */
public final class RingLoggerFinder extends System.LoggerFinder {
    private static final LogRing RING = new LogRing(new FileOutputStream(FileDescriptor.out), new SystemClock());

    /** For the service loader. */
    public RingLoggerFinder() {}

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new RingLogger(name, RING);
    }

    /** Writes out all that waits; for the end of the process. */
    public static void flush() {
        RING.drain();
    }
}
