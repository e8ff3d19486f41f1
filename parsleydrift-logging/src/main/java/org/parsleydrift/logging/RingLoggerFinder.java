package org.parsleydrift.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import org.parsleydrift.kernel.SystemClock;

/** Provides loggers that share one bounded asynchronous log on standard output. */
public final class RingLoggerFinder extends System.LoggerFinder {
    private static final LogRing RING = new LogRing(new FileOutputStream(FileDescriptor.out), new SystemClock());

    /** Called by the {@link java.util.ServiceLoader}. */
    public RingLoggerFinder() {}

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new RingLogger(name, RING);
    }

    /** Writes all buffered lines. To be called before the process exits. */
    public static void flush() {
        RING.drain();
    }
}
