package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.logging.RingLoggerFinder;

/** Starts the role that the settings name. SIGTERM drains it; SIGHUP has it read its settings again. */
public final class RoleMain {
    private static final Logger LOG = System.getLogger(RoleMain.class.getName());
    private static final int USAGE = 2;

    private RoleMain() {}

    /**
     * Runs a role until it is told to end.
     *
     * @param arguments the settings file
     */
    public static void main(String[] arguments) {
        if (arguments.length != 1 || arguments[0].startsWith("-")) {
            System.err.println("usage: parsleydrift-role SETTINGS.json");
            System.exit(arguments.length == 1 && "--help".equals(arguments[0]) ? 0 : USAGE);
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
        RoleSettings settings = RoleSettingsReader.read(file);
        ProcessParts parts = new ProcessParts(settings);
        Role role = settings.role() == RoleKind.ENTRY ? new EntryRole(parts) : new StoreRole(parts);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(role), "drain"));
        onHangUp(() -> parts.loop.execute(() -> reload(role, file)));
        role.start();
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("role_started")
                        .with("role", settings.role())
                        .with("vm", settings.vm())
                        .with("zone", settings.zone())
                        .with("link", settings.link())
                        .with("first_start", settings.firstStart())
                        .toString());
        new CountDownLatch(1).await();
    }

    private static void stop(Role role) {
        role.drain();
        LOG.log(Logger.Level.INFO, LogLine.of("role_stopped").toString());
        RingLoggerFinder.flush();
    }

    private static void reload(Role role, Path file) {
        try {
            role.reload(RoleSettingsReader.read(file));
        } catch (StepException fault) {
            // The settings that the process runs with stay in force.
            LOG.log(
                    Logger.Level.ERROR,
                    LogLine.of("settings_refused").failure(fault).toString());
        }
    }

    /** Without a handler SIGHUP would end the process. By reflection, since the class has no public module. */
    private static void onHangUp(Runnable task) {
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
