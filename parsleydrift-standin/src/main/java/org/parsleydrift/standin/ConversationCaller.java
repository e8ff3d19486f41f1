package org.parsleydrift.standin;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import org.parsleydrift.kernel.LogLine;

/**
 * A stand-in caller in the users' dialect, with a conversation through entry and store processes: has a manifest and
 * runners written, holds a conversation of three turns with a tool call between them, and checks after each turn that the
 * runner was given all that was said before, byte for byte.
 */
public final class ConversationCaller {
    private static final int FAILED = 1;
    private static final int SLOTS = 4;
    private static final String PROGRAM = "p1";
    private static final List<String> SAID =
            List.of("A main has burst in Harbour Lane.", "It is at number 12.", "The water is up to the door.");

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String platform;
    private final String directory;

    private ConversationCaller(String platform, String directory) {
        this.platform = platform;
        this.directory = directory;
    }

    /**
     * Holds the conversation.
     *
     * @param arguments platform, directory of an entry process, addresses of the runners separated by commas
     * @throws Exception if a process can't be reached
     */
    public static void main(String[] arguments) throws Exception {
        ConversationCaller quickstart = new ConversationCaller(arguments[0], arguments[1]);
        List<String> runners = Arrays.asList(arguments[2].split(",", -1));
        System.exit(quickstart.run(runners) ? 0 : FAILED);
    }

    private boolean run(List<String> runners) throws IOException, InterruptedException {
        StandInOperator operator = new StandInOperator(client, platform);
        operator.deploy(runners, SLOTS);
        String entry = operator.entry(directory);
        String previous = "";
        int before = 0;
        boolean sound = true;
        for (int turn = 0; turn < SAID.size(); turn++) {
            String input = SAID.get(turn);
            String id = "turn-" + turn;
            HttpResponse<String> answer = send(new CallerRequest(id, PROGRAM, previous, input).turn(entry));
            int heard = before + input.length();
            boolean whole = answer.statusCode() == 200 && answer.body().contains("data: heard " + heard + "\n");
            System.out.println(LogLine.of("turn")
                    .with("request", id)
                    .with("status", answer.statusCode())
                    .with("bytes_given_to_runner", heard)
                    .with("chain_whole", whole));
            sound &= whole;
            before = heard + RunnerServer.output(heard).length;
            previous = id;
            HttpResponse<String> called = send(new CallerRequest("call-" + turn, PROGRAM, "", "go").call(entry));
            sound &= called.statusCode() == 200;
        }
        System.out.println("conversation turns=" + SAID.size() + " chain_whole=" + sound);
        return sound;
    }

    private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
