package org.parsleydrift.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.InvalidJsonException;
import org.parsleydrift.manifest.ManifestParser;

/** Command-line tool for callers and operators (docs/OPERATIONS.md, "Command line"). */
public final class Parsleydrift {
    private static final String USAGE = """
            usage: parsleydrift [options] COMMAND

              manifest check FILE       check a manifest without submitting it
              manifest submit FILE      submit a manifest; applied atomically
              manifest show             print the active manifest
              status                    print the status of each node
              entry                     print the assigned entry node and a ticket
              start AGENT PROMPT        start a program; prints its id
              send PROGRAM TEXT         send a message to a program
              watch PROGRAM             print a program's answer as it comes
              cancel PROGRAM            cancel a program
              call SERVICE JSON         call a plain service
              explain PROGRAM           print the state of a program
              explain ID --log FILES    print the log lines that concern a request or program
              digest --log FILES        print request outcomes by second and by cause

            exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown (safe to repeat with the same --key and
            --ticket), 4 no entry node answered
            """;

    private final PrintStream out;
    private final PrintStream err;
    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> entryOption = parser.accepts("entry", "addresses of entry nodes, comma-separated")
            .withRequiredArg()
            .defaultsTo("127.0.0.1:8101");
    private final OptionSpec<String> teamOption =
            parser.accepts("team", "the caller's team").withRequiredArg().defaultsTo("default");
    private final OptionSpec<String> keyOption =
            parser.accepts("key", "the caller's key; a new one if absent").withRequiredArg();
    private final OptionSpec<String> ticketOption = parser.accepts(
                    "ticket", "the ticket of the first attempt, for a retry")
            .withRequiredArg();
    private final OptionSpec<Long> offsetOption = parser.accepts("offset", "characters already read")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(0L);
    private final OptionSpec<Long> expectedOption = parser.accepts("expected", "generation to replace")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(-1L);
    private final OptionSpec<String> logOption =
            parser.accepts("log", "log files, comma-separated").withRequiredArg();
    private final OptionSpec<Void> jsonOption = parser.accepts("json", "print JSON");
    private final OptionSpec<Void> helpOption =
            parser.accepts("help", "print this").forHelp();
    private final OptionSpec<String> words = parser.nonOptions();

    private Parsleydrift(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs one command and exits with its exit code.
     *
     * @param arguments command and options, see {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(run(List.of(arguments), System.out, System.err));
    }

    /**
     * Runs one command.
     *
     * @param arguments command and options, see {@code --help}
     * @param out stream for results
     * @param err stream for errors
     * @return one of the constants of {@link ExitCode}
     */
    public static int run(List<String> arguments, PrintStream out, PrintStream err) {
        return new Parsleydrift(out, err).run(arguments);
    }

    private int run(List<String> arguments) {
        try {
            OptionSet options = parser.parse(arguments.toArray(String[]::new));
            List<String> command = options.valuesOf(words);
            if (options.has(helpOption) || command.isEmpty()) {
                PrintStream to = options.has(helpOption) ? out : err;
                to.println(USAGE);
                parser.printHelpOn(to);
                return options.has(helpOption) ? ExitCode.OK : ExitCode.USAGE;
            }
            return run(options, command);
        } catch (OptionException fault) {
            err.println("parsleydrift: " + fault.getMessage());
            return ExitCode.USAGE;
        } catch (IndexOutOfBoundsException missing) {
            err.println("parsleydrift: missing argument; see --help");
            return ExitCode.USAGE;
        } catch (InvalidJsonException faults) {
            faults.errors().forEach(fault -> err.println(faults.peer() + ":" + fault));
            return ExitCode.REFUSED;
        } catch (CallerException refusal) {
            err.println(LogLine.of("refused").failure(refusal));
            return refusal.exitCode();
        } catch (StepException failure) {
            err.println(LogLine.of("failed").failure(failure));
            return ExitCode.REFUSED;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private int run(OptionSet options, List<String> command) throws IOException {
        if ("manifest".equals(command.getFirst()) && "check".equals(command.get(1))) {
            Path file = Path.of(command.get(2));
            ManifestParser.parse(file.getFileName().toString(), Files.readString(file));
            out.println("good");
            return ExitCode.OK;
        }
        if ("digest".equals(command.getFirst())) {
            return digest(options);
        }
        if ("explain".equals(command.getFirst()) && options.has(logOption)) {
            return explain(options.valueOf(logOption), command.get(1));
        }
        List<String> entries = List.of(options.valueOf(entryOption).split(",", -1));
        try (CallerClient caller = new CallerClient(entries)) {
            return switch (command.getFirst()) {
                case "manifest" -> manifest(options, caller, command);
                case "status" -> status(options, caller);
                case "entry" -> print(options, caller.entry(options.valueOf(teamOption)));
                case "start" -> start(options, caller, command.get(1), command.get(2));
                case "send" -> print(options, caller.send(command.get(1), key(options), command.get(2)));
                case "watch" -> watch(options, caller, command.get(1));
                case "cancel" -> print(options, caller.call("DELETE", "/v1/programs/" + command.get(1), ""));
                case "explain" -> print(options, caller.call("GET", "/v1/programs/" + command.get(1), ""));
                case "call" -> callService(options, caller, command.get(1), command.get(2));
                default -> {
                    err.println("parsleydrift: unknown command " + command.getFirst() + "; see --help");
                    yield ExitCode.USAGE;
                }
            };
        }
    }

    private int explain(String files, String id) throws IOException {
        List<LogTrace.Line> trace = new LogTrace(logLines(files)).of(id);
        if (trace.isEmpty()) {
            err.println("parsleydrift: no log line contains id " + id);
            return ExitCode.REFUSED;
        }
        trace.forEach(line -> out.println(line.source() + ": " + line.text()));
        return ExitCode.OK;
    }

    private int digest(OptionSet options) throws IOException {
        if (!options.has(logOption)) {
            err.println("parsleydrift: digest requires --log FILES");
            return ExitCode.USAGE;
        }
        List<LogTrace.Line> lines = logLines(options.valueOf(logOption));
        new LogDigest(lines.stream().map(LogTrace.Line::text)).report().forEach(out::println);
        return ExitCode.OK;
    }

    private static List<LogTrace.Line> logLines(String files) throws IOException {
        List<LogTrace.Line> lines = new ArrayList<>();
        for (String file : files.split(",", -1)) {
            Path path = Path.of(file);
            Files.readAllLines(path)
                    .forEach(text ->
                            lines.add(new LogTrace.Line(path.getFileName().toString(), text)));
        }
        return lines;
    }

    private int manifest(OptionSet options, CallerClient caller, List<String> command) throws IOException {
        return switch (command.get(1)) {
            case "submit" -> {
                Path file = Path.of(command.get(2));
                String text = Files.readString(file);
                ManifestParser.parse(file.getFileName().toString(), text);
                long expected = options.valueOf(expectedOption);
                yield print(options, caller.call("PUT", "/v1/manifest?expected=" + expected, text));
            }
            case "show" -> {
                JsonNode version = caller.call("GET", "/v1/manifest", "");
                out.println("// generation " + version.path("generation"));
                out.println(version.path("text").asText());
                yield ExitCode.OK;
            }
            default -> {
                err.println("parsleydrift: unknown command manifest " + command.get(1) + "; see --help");
                yield ExitCode.USAGE;
            }
        };
    }

    private int status(OptionSet options, CallerClient caller) {
        JsonNode first = caller.call("GET", "/v1/status", "");
        print(options, first);
        first.path("peers").forEach(peer -> {
            try (CallerClient direct =
                    new CallerClient(List.of(peer.path("http").asText()))) {
                print(options, direct.call("GET", "/v1/status", ""));
            } catch (CallerException unreachable) {
                err.println(LogLine.of("unreachable")
                        .with("node", peer.path("node").asText())
                        .failure(unreachable));
            }
        });
        return ExitCode.OK;
    }

    private int start(OptionSet options, CallerClient caller, String agent, String prompt) {
        String program =
                caller.start(ticket(options, caller), options.valueOf(teamOption), key(options), agent, prompt);
        out.println(program);
        return ExitCode.OK;
    }

    private int watch(OptionSet options, CallerClient caller, String program) {
        ProgramAnswer answer = caller.watch(program, options.valueOf(offsetOption), piece -> {
            out.print(piece);
            out.flush();
        });
        out.println();
        err.println(LogLine.of("end")
                .with("end", answer.end())
                .with("detail", answer.detail())
                .with("length", answer.length()));
        return "complete".equals(answer.end()) ? ExitCode.OK : ExitCode.REFUSED;
    }

    private int callService(OptionSet options, CallerClient caller, String service, String json) {
        String ticket = ticket(options, caller);
        String body = "{\"ticket\":\"" + ticket + "\",\"team\":\"" + options.valueOf(teamOption) + "\",\"key\":\""
                + key(options) + "\",\"body\":" + json + "}";
        return print(options, caller.call("POST", "/v1/services/" + service, body));
    }

    private String ticket(OptionSet options, CallerClient caller) {
        return options.has(ticketOption)
                ? options.valueOf(ticketOption)
                : caller.entry(options.valueOf(teamOption)).path("ticket").asText();
    }

    private String key(OptionSet options) {
        return options.has(keyOption)
                ? options.valueOf(keyOption)
                : UUID.randomUUID().toString();
    }

    private int print(OptionSet options, JsonNode json) {
        if (options.has(jsonOption)) {
            out.println(json);
            return ExitCode.OK;
        }
        json.properties()
                .forEach(field -> out.println(field.getKey() + ": "
                        + (field.getValue().isTextual() ? field.getValue().asText() : field.getValue())));
        return ExitCode.OK;
    }
}
