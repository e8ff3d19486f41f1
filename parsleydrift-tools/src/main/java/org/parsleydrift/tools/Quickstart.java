package org.parsleydrift.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.StepException;

/**
 * Main class of {@code bin/quickstart}: submits the example manifest, runs two example programs, verifies their answers
 * and counts tool effects that were executed more than once.
 */
public final class Quickstart {
    private static final String DEBATE = "Who owned the hull of the Daesan in 1911? "
            + "<say 12 / say 8, tool notes.read {\"hull\":\"daesan\"} / say 10"
            + " / say 9, spawn provenance <say 6 / say 7 / say 5, end>,"
            + " spawn provenance <say 8, tool notes.read {\"hull\":\"daesan-2\"} / say 4, end>,"
            + " spawn provenance <say 3 / say 3 / say 3, end>"
            + " / say 11 / say 7, tool manifest.scan {\"year\":1911} / say 6 / say 6 / say 9"
            + " / say 5, tool registry.assign {\"hull\":\"daesan\"} / say 10 / say 7 / say 4, end>";
    private static final String INTAKE = "A main has burst in Harbour Lane. "
            + "<say 9, wait / say 7, tool crew.dispatch {\"lane\":\"harbour\"} / say 5, end>";

    private final CallerClient caller;
    private final List<String> tools;
    private int complete;

    private Quickstart(CallerClient caller, List<String> tools) {
        this.caller = caller;
        this.tools = tools;
    }

    /**
     * Runs the example programs and exits with an {@link ExitCode}.
     *
     * @param arguments entry addresses, manifest file and tool addresses; addresses are comma-separated
     * @throws IOException if the manifest cannot be read
     */
    public static void main(String[] arguments) throws IOException {
        List<String> entries = List.of(arguments[0].split(",", -1));
        String manifest = Files.readString(Path.of(arguments[1]));
        List<String> tools = List.of(arguments[2].split(",", -1));
        int code;
        try (CallerClient caller = new CallerClient(entries)) {
            code = new Quickstart(caller, tools).run(manifest);
        } catch (StepException failure) {
            System.err.println(LogLine.of("quickstart_failed").failure(failure));
            code = ExitCode.REFUSED;
        }
        System.exit(code);
    }

    private int run(String manifest) {
        JsonNode accepted = caller.call("PUT", "/v1/manifest", manifest);
        System.out.println("manifest generation=" + accepted.path("generation"));
        String debate = start("curators", "debate-1", "provenance", DEBATE);
        String intake = start("residents", "intake-1", "intake", INTAKE);
        caller.send(intake, "reply-1", "It is at number 12, the water is up to the door.");
        show("debate-1", debate);
        show("intake-1", intake);
        long duplicated = countDuplicatedEffects();
        System.out.println("quickstart programs=2 complete=" + complete + " duplicated_effects=" + duplicated);
        return complete == 2 && duplicated == 0 ? ExitCode.OK : ExitCode.REFUSED;
    }

    private String start(String team, String key, String agent, String prompt) {
        String ticket = caller.entry(team).path("ticket").asText();
        return caller.start(ticket, team, key, agent, prompt);
    }

    private void show(String key, String program) {
        ProgramAnswer answer = caller.watch(program, 0, piece -> {});
        System.out.println("answer program=" + program + " end=" + answer.end() + " length=" + answer.length());
        System.out.println(answer.text());
        String fault = AnswerCheck.fault(key, answer);
        if ("complete".equals(answer.end()) && fault.isEmpty()) {
            complete++;
        } else {
            System.err.println("event=answer_faulty program=" + program + " end=" + answer.end() + " fault=" + fault);
        }
    }

    private long countDuplicatedEffects() {
        return tools.stream()
                .mapToLong(tool -> {
                    try (CallerClient direct = new CallerClient(List.of(tool))) {
                        JsonNode effects = direct.call("GET", "/v1/effects", "");
                        return effects.properties().stream()
                                .filter(effect -> effect.getValue().asInt() > 1)
                                .count();
                    }
                })
                .sum();
    }
}
