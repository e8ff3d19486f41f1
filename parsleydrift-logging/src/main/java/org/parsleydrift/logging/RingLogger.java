package org.parsleydrift.logging;

import java.text.MessageFormat;
import java.util.ResourceBundle;

/** A logger on the ring buffer. It discards lines below INFO, and lines of third-party libraries below WARNING. */
final class RingLogger implements System.Logger {
    private static final String PROJECT_PREFIX = "org.parsleydrift";

    private final String name;
    private final String shortName;
    private final LogRing ring;
    private final Level minimumLevel;

    RingLogger(String name, LogRing ring) {
        this.name = name;
        this.shortName = name.substring(name.lastIndexOf('.') + 1);
        this.ring = ring;
        this.minimumLevel = name.startsWith(PROJECT_PREFIX) ? Level.INFO : Level.WARNING;
    }

    @Override
    public String getName() {
        return name;
    }

    @Override
    public boolean isLoggable(Level level) {
        return level.getSeverity() >= minimumLevel.getSeverity() && level != Level.OFF;
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
        if (isLoggable(level)) {
            ring.publish(level, shortName, message, thrown);
        }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
        if (isLoggable(level)) {
            boolean hasNoParameters = parameters == null || parameters.length == 0;
            ring.publish(level, shortName, hasNoParameters ? format : MessageFormat.format(format, parameters), null);
        }
    }
}
