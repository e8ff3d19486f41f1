package org.parsleydrift.bench.streams;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** An entry or store process of the system, started, stopped and sent signals by the run that created it. Thread-safe. */
final class RoleProcess {
    private static final List<String> OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx110m",
            "-Xss512k",
            "-XX:-UsePerfData",
            "-Djava.util.logging.manager=" + LastingLogManager.class.getName(),
            "--sun-misc-unsafe-memory-access=allow",
            "--enable-native-access=ALL-UNNAMED");
    private static final String TIME = "time=";
    private static final String MAIN = "org.parsleydrift.roles.RoleMain";

    private final String name;
    private final Path settings;
    private final Path log;
    private String classPath;
    private Optional<Process> process = Optional.empty();
    private long disturbedNanos;
    private OptionalLong terminatedNanos = OptionalLong.empty();
    private OptionalLong killedNanos = OptionalLong.empty();

    /**
     * Creates a process that is not started yet.
     *
     * @param name name of its VM
     * @param folder folder for its settings and its log
     * @param formerClassPath class path of the software that it runs until it is upgraded, if another than that of the run
     */
    RoleProcess(String name, Path folder, Optional<String> formerClassPath) {
        this.name = name;
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        this.classPath = formerClassPath.orElseGet(RoleProcess::ownClassPath);
    }

    String name() {
        return name;
    }

    /** Writes the settings that apply from the next start on. */
    void configure(String json) throws IOException {
        Files.writeString(settings, json);
    }

    /** Starts the process; has no effect while it runs. */
    synchronized void start(long nowNanos) throws IOException {
        disturbedNanos = nowNanos;
        if (isRunning()) {
            return;
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(List.of("-cp", classPath, MAIN, settings.toString()));
        process = Optional.of(new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start());
    }

    private static String ownClassPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Makes the process run the software of this run from its next start on. */
    synchronized void upgrade() {
        classPath = ownClassPath();
    }

    /** Ends the process without warning. */
    synchronized void kill(long nowNanos) {
        disturbedNanos = nowNanos;
        if (isRunning()) {
            killedNanos = OptionalLong.of(nowNanos);
        }
        process.ifPresent(Process::destroyForcibly);
    }

    /** Returns whether the process was ended without warning after a time. */
    synchronized boolean wasKilledAfter(long nanos) {
        return killedNanos.isPresent() && killedNanos.getAsLong() - nanos > 0;
    }

    /** Returns the time from the latest SIGTERM to a given time, for people. */
    synchronized String sinceTermination(long nanos) {
        return terminatedNanos.isEmpty()
                ? "without SIGTERM"
                : String.format(Locale.ROOT, "%+.3fs after SIGTERM", (nanos - terminatedNanos.getAsLong()) / 1e9);
    }

    /** Sends a signal, such as TERM, STOP, CONT or HUP; has no effect on a process that has ended. */
    synchronized void signal(String signal, long nowNanos) throws IOException {
        disturbedNanos = nowNanos;
        if (signal.equals("TERM")) {
            terminatedNanos = OptionalLong.of(nowNanos);
        }
        if (isRunning()) {
            new ProcessBuilder(
                            "kill",
                            "-" + signal,
                            Long.toString(process.orElseThrow().pid()))
                    .start();
        }
    }

    synchronized boolean isRunning() {
        return process.filter(Process::isAlive).isPresent();
    }

    /** Returns the time of the latest start or signal. */
    synchronized long disturbedNanos() {
        return disturbedNanos;
    }

    /** Returns whether a text appears in the log. */
    boolean hasLogged(String text) throws IOException {
        return Files.exists(log) && Files.readString(log).contains(text);
    }

    /**
     * Returns the times of the log lines that contain a text, ns since the epoch.
     *
     * @param text text such as that of an event
     */
    List<Long> timesOf(String text) throws IOException {
        if (!Files.exists(log)) {
            return List.of();
        }
        try (Stream<String> lines = Files.lines(log)) {
            return lines.filter(each -> each.startsWith(TIME) && each.contains(text))
                    .map(each -> Instant.parse(each.substring(TIME.length(), each.indexOf(' '))))
                    .map(each -> ChronoUnit.NANOS.between(Instant.EPOCH, each))
                    .toList();
        }
    }

    /** Ends the process and waits until it is gone. */
    void close() {
        current().ifPresent(Process::destroyForcibly);
        awaitEnd();
    }

    /** Waits until a process that was killed is gone. */
    void awaitEnd() {
        current()
                .ifPresent(each -> each.onExit().orTimeout(10, TimeUnit.SECONDS).join());
    }

    private synchronized Optional<Process> current() {
        return process;
    }
}
