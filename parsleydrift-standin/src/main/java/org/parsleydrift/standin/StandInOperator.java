package org.parsleydrift.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Writes a manifest and runners to the platform as the operator and the runners would, and finds an entry process. */
final class StandInOperator {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int TRIES = 100;
    private static final long PAUSE_MILLIS = 100;

    private final HttpClient client;
    private final String platform;

    StandInOperator(HttpClient client, String platform) {
        this.client = client;
        this.platform = platform;
    }

    /** Writes a manifest with a route that keeps conversations, one of calls that must not repeat, and the runners. */
    void deploy(List<String> runners, int slots) throws IOException, InterruptedException {
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
                            .put("slots", slots)
                            .put("state", "ready"));
        }
    }

    /** Asks a directory which address to use until a node is ready. */
    String entry(String directory) throws IOException, InterruptedException {
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
}
