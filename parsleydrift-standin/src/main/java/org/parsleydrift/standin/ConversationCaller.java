package org.parsleydrift.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.LogLine;

/**
 * A stand-in caller in the users' dialect, with a conversation through entry and store processes: writes a manifest and runners as the operator and the
 * runners would, holds a conversation of three turns with a tool call between them, and checks after each turn that the
 * runner was given all that was said before, byte for byte.
 */
public final class ConversationCaller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FAILED = 1;
    private static final int TRIES = 100;
    private static final long PAUSE_MILLIS = 100;
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
        put("config/main", manifest());
        for (String runner : runners) {
            put(
                    "servers/" + runner,
                    MAPPER.createObjectNode()
                            .put("service", "desk")
                            .put("address", runner)
                            .put("zone", "a")
                            .put("version", "v1")
                            .put("seq", 1)
                            .put("cold_left_ms", 0)
                            .put("slots", 4)
                            .put("state", "ready"));
        }
        String entry = entry();
        String previous = "";
        int before = 0;
        boolean sound = true;
        for (int turn = 0; turn < SAID.size(); turn++) {
            String input = SAID.get(turn);
            String id = "turn-" + turn;
            HttpResponse<String> answer = send(entry, "/talk/", id, input, Map.of("X-Previous-Turn", previous));
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
            sound &= send(entry, "/crew/", "call-" + turn, "go", Map.of()).statusCode() == 200;
        }
        System.out.println("conversation turns=" + SAID.size() + " chain_whole=" + sound);
        return sound;
    }

    private static JsonNode manifest() throws IOException {
        return MAPPER.readTree("""
                {"version": 1, "limits": {}, "services": [{"name": "desk", "engine": {"chunk_tokens": 5}}], "routes": [
                  {"name": "talk", "host": "127.0.0.1", "path_prefix": "/talk/", "type": "streaming",
                   "service": "desk", "timeout_ms": 3000, "stateful": true, "retention_s": 60},
                  {"name": "crew", "host": "127.0.0.1", "path_prefix": "/crew/", "type": "non_idempotent",
                   "service": "desk", "timeout_ms": 3000}]}
                """);
    }

    private void put(String path, JsonNode spec) throws IOException, InterruptedException {
        String body = MAPPER.createObjectNode().set("spec", spec).toString();
        client.send(
                HttpRequest.newBuilder(URI.create("http://" + platform + "/objects/" + path))
                        .PUT(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Asks which address to use until a node is ready. */
    private String entry() throws IOException, InterruptedException {
        HttpRequest ask = HttpRequest.newBuilder(URI.create("http://" + directory + "/resolve?name=desk.example"))
                .build();
        for (int i = 0; i < TRIES; i++) {
            HttpResponse<String> answer = client.send(ask, HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() == 200) {
                return MAPPER.readTree(answer.body()).path("addresses").path(0).asText();
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
        }
        throw new IOException("no entry node became ready");
    }

    private HttpResponse<String> send(String entry, String path, String id, String body, Map<String, String> headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + entry + path))
                .header("X-Attempt-Id", id)
                .header("X-Program-Id", "p1")
                .header("X-Deadline-Ms", "3000");
        if (path.equals("/talk/")) {
            request.header("X-Token-Budget", "100").header("X-Token-Count", "40,20");
        }
        headers.forEach((name, value) -> {
            if (!value.isEmpty()) {
                request.header(name, value);
            }
        });
        request.header("X-Forwarded-Host", "desk.example");
        return client.send(
                request.POST(HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.ofString());
    }
}
