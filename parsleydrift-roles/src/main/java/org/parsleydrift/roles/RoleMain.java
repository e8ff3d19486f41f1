package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.logging.RingLoggerFinder;

/** Runs the role selected by the settings. SIGTERM drains it; SIGHUP reloads its settings. */
public final class RoleMain {
    private static final Logger LOG = System.getLogger(RoleMain.class.getName());
    private static final int EXIT_USAGE = 2;

    private RoleMain() {}

    /**
     * Runs a role until the process is terminated. Exits with 2 on wrong usage and with 1 if the start fails.
     *
     * @param arguments path of the settings file
     */
    public static void main(String[] arguments) {
        if (arguments.length != 1 || arguments[0].startsWith("-")) {
            System.err.println("usage: parsleydrift-role SETTINGS.json");
            System.exit(arguments.length == 1 && "--help".equals(arguments[0]) ? 0 : EXIT_USAGE);
            return;
        }
        Path file = Path.of(arguments[0]);
        try {
            run(file);
        } catch (StepException fault) {
            System.err.println(LogLine.of("start_failed").failure(fault));
            System.exit(1);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private static void run(Path file) throws InterruptedException {
        RoleLifecycle lifecycle = new RoleLifecycle(role -> reload(role, file));
        onHangup(lifecycle::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> endAndFlush(lifecycle), "drain"));
        RoleSettings settings = RoleSettingsReader.read(file);
        ProcessContext parts = new ProcessContext(settings);
        Role role = settings.role() == RoleKind.ENTRY ? new EntryRole(parts) : new StoreRole(parts);
        if (lifecycle.start(role)) {
            logStarted(settings);
        }
        new CountDownLatch(1).await();
    }

    private static void logStarted(RoleSettings settings) {
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("role_started")
                        .with("role", settings.role())
                        .with("vm", settings.vm())
                        .with("zone", settings.zone())
                        .with("link", settings.link())
                        .with("first_start", settings.firstStart())
                        .toString());
    }

    private static void endAndFlush(RoleLifecycle lifecycle) {
        lifecycle.end();
        LOG.log(Logger.Level.INFO, LogLine.of("role_stopped").toString());
        RingLoggerFinder.flush();
    }

    private static void reload(Role role, Path file) {
        try {
            role.reload(RoleSettingsReader.read(file));
        } catch (StepException fault) {
            // The current settings stay in effect.
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("settings_refused").failure(fault).toString());
        }
    }

    /**
     * Installs a SIGHUP handler, without which the signal would end the process. Uses reflection, because the class is
     * not in a public module.
     */
    private static void onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    RoleMain.class.getClassLoader(), new Class<?>[] {handler}, (self, method, values) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException | RuntimeException fault) {
            LOG.log(
                    Logger.Level.WARNING,
                    LogLine.of("no_hangup_handler").failure(fault).toString());
        }
    }
}
