package org.parsleydrift.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.codec.JsonDocument;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;
import org.parsleydrift.kernel.platform.StoredObject;
import org.parsleydrift.kernel.platform.VmEntry;
import org.parsleydrift.wire.HttpClient;
import org.parsleydrift.wire.HttpClientResponse;
import org.parsleydrift.wire.HttpRequestSpec;

/** HTTP client of the platform's object API. */
final class HttpObjectStore implements ObjectStore {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration WATCH_IDLE_TIMEOUT = Duration.ofSeconds(25);
    private static final String VERSION_HEADER = "x-version";

    private final HttpClient client;
    private final String address;

    HttpObjectStore(HttpClient client, String address) {
        this.client = client;
        this.address = address;
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String key) {
        return send("GET", object(key), new byte[0], IDLE_TIMEOUT, key)
                .thenApply(answer -> toStoredObject(key, answer));
    }

    @Override
    public CompletableFuture<Long> create(String key, byte[] value) {
        return send("PUT", object(key), value, IDLE_TIMEOUT, key).thenApply(answer -> version(key, answer));
    }

    @Override
    public CompletableFuture<Long> update(String key, long version, byte[] value) {
        return send("PUT", object(key) + "&version=" + version, value, IDLE_TIMEOUT, key)
                .thenApply(answer -> version(key, answer));
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return send("DELETE", object(key), new byte[0], IDLE_TIMEOUT, key)
                .thenAccept(answer -> requireSuccess(key, answer));
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String prefix) {
        return send("GET", "/v1/list?prefix=" + urlEncode(prefix), new byte[0], IDLE_TIMEOUT, prefix)
                .thenApply(answer -> {
                    List<StoredObject> rows = new ArrayList<>();
                    json(prefix, requireSuccess(prefix, answer))
                            .forEach(row -> rows.add(new StoredObject(
                                    row.path("key").asText(),
                                    row.path("version").asLong(),
                                    new byte[0])));
                    return rows;
                });
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(String key, long afterVersion) {
        String target = "/v1/watch?key=" + urlEncode(key) + "&after=" + afterVersion;
        return send("GET", target, new byte[0], WATCH_IDLE_TIMEOUT, key)
                .thenApply(answer -> toStoredObject(key, answer));
    }

    @Override
    public CompletableFuture<List<VmEntry>> listVms() {
        return send("GET", "/v1/vms", new byte[0], IDLE_TIMEOUT, "vms").thenApply(answer -> {
            try {
                return JsonDocument.MAPPER.readValue(
                        requireSuccess("vms", answer).body(), new TypeReference<List<VmEntry>>() {});
            } catch (java.io.IOException fault) {
                throw new StoreException(StoreFailure.UNKNOWN, "vms");
            }
        });
    }

    private CompletableFuture<HttpClientResponse> send(
            String method, String target, byte[] body, Duration idleTimeout, String key) {
        return client.send(new HttpRequestSpec(address, method, target, body, idleTimeout, true))
                .exceptionally(failure -> {
                    throw new StoreException(StoreFailure.UNKNOWN, key);
                });
    }

    private static Optional<StoredObject> toStoredObject(String key, HttpClientResponse answer) {
        if (answer.status() == 404 || answer.status() == 204) {
            return Optional.empty();
        }
        long version = Long.parseLong(requireSuccess(key, answer).headers().getOrDefault(VERSION_HEADER, "0"));
        return Optional.of(new StoredObject(key, version, answer.body()));
    }

    private static long version(String key, HttpClientResponse answer) {
        return json(key, requireSuccess(key, answer)).path("version").asLong();
    }

    private static HttpClientResponse requireSuccess(String key, HttpClientResponse answer) {
        return switch (answer.status()) {
            case 200, 201 -> answer;
            case 409 -> throw new StoreException(StoreFailure.CONFLICT, key);
            case 429, 503 -> throw new StoreException(StoreFailure.REFUSED, key);
            case 404 -> throw new StoreException(StoreFailure.ABSENT, key);
            default -> throw new StoreException(StoreFailure.UNKNOWN, key);
        };
    }

    private static JsonNode json(String key, HttpClientResponse answer) {
        try {
            return JsonDocument.MAPPER.readTree(answer.text());
        } catch (JsonProcessingException fault) {
            throw new StoreException(StoreFailure.UNKNOWN, key);
        }
    }

    private static String object(String key) {
        return "/v1/objects?key=" + urlEncode(key);
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
