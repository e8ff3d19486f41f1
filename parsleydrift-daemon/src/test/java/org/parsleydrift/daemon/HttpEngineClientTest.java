package org.parsleydrift.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.parsleydrift.kernel.upstream.TurnRequest;
import org.parsleydrift.kernel.upstream.TurnResult;
import org.parsleydrift.wire.HttpClient;
import org.parsleydrift.wire.HttpExchange;
import org.parsleydrift.wire.HttpServer;
import org.parsleydrift.wire.NetworkThreads;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Turns whose connection breaks after the first half of the text. */
public class HttpEngineClientTest {
    private final Queue<String> engines = new ConcurrentLinkedQueue<>();
    private final Queue<String> received = new ConcurrentLinkedQueue<>();
    private NetworkThreads threads;
    private HttpServer server;

    @BeforeMethod
    public void start() {
        engines.clear();
        received.clear();
        threads = new NetworkThreads("engine-test", 1);
        server = new HttpServer(threads, "127.0.0.1", 0, 10, this::serve);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.close();
        threads.close();
    }

    /** Sends half of the text and breaks the connection, or the rest of it if the caller has the first half. */
    private void serve(HttpExchange exchange) {
        String engine = engines.remove();
        String start = "{\"stream\":\"p/s\"," + (engine.isEmpty() ? "" : "\"engine\":\"" + engine + "\",");
        exchange.beginStream("application/x-ndjson");
        if (exchange.body().contains("\"skip\":0")) {
            exchange.write(start + "\"text\":\"one \"}\n");
            exchange.abort();
        } else {
            exchange.write(start + "\"text\":\"two\"}\n");
            exchange.write(start + "\"done\":true,\"length\":7,\"actions\":[]}\n");
            exchange.endStream();
        }
    }

    private TurnResult runTurn(String... answering) {
        engines.addAll(List.of(answering));
        CompletableFuture<TurnResult> done = new CompletableFuture<>();
        new HttpEngineClient(new HttpClient(threads))
                .runTurn(
                        "127.0.0.1:" + server.port(),
                        new TurnRequest("p/s", "p", "m", List.of(), 10),
                        received::add,
                        done);
        return done.join();
    }

    @Test
    public void textGoesOnAtTheSameProcess() {
        assertEquals(runTurn("e1", "e1").text(), "one two");
    }

    /** Guards against a text joined from two processes of an engine that was restarted at the same address. */
    @Test
    public void textIsNotContinuedByAnotherProcess() {
        assertThrows(CompletionException.class, () -> runTurn("e1", "e2"));
        assertEquals(List.copyOf(received), List.of("one "));
    }

    /** Guards against taking engines that do not name themselves for the same process. */
    @Test
    public void textIsNotContinuedByUnnamedProcess() {
        assertThrows(CompletionException.class, () -> runTurn("", ""));
        assertEquals(List.copyOf(received), List.of("one "));
    }
}
