package org.parsleydrift.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.wire.HttpExchange;
import org.parsleydrift.wire.HttpHandler;

/**
 * A runner as callers on the users' platform know it. A turn is answered by a few events, the first of which tells how
 * many bytes the runner was given, so that a caller can check the chain; anything else by a short text.
 */
public final class RunnerServer implements HttpHandler {
    private static final String REQUEST_ID = "X-Attempt-Id";
    private static final String TEXT = "text/plain";
    private static final int EVENTS = 4;
    private static final Duration STEP = Duration.ofMillis(20);

    private final String id;
    private final EventLoop loop;

    /**
     * Makes a runner.
     *
     * @param id the id of this life
     * @param loop its loop
     */
    public RunnerServer(String id, EventLoop loop) {
        this.id = id;
        this.loop = loop;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String request = exchange.header(REQUEST_ID, "");
        Map<String, String> headers =
                Map.of(REQUEST_ID, request, "X-Server-Stamp", id + "." + request, "X-Instance-Id", id);
        if (!exchange.header("X-Expect-Instance", id).equals(id)) {
            exchange.respond(421, TEXT, "", headers);
        } else if (request.isEmpty()) {
            exchange.respond(400, TEXT, "", Map.of("X-Not-Executed", "1"));
        } else if (exchange.header("X-Token-Count", "").isEmpty()) {
            loop.schedule(STEP, () -> exchange.respond(200, TEXT, "done by " + id, headers));
        } else {
            exchange.beginStream("text/event-stream", headers);
            int heard = exchange.bodyBytes().length;
            IntStream.rangeClosed(1, EVENTS)
                    .forEach(event -> loop.schedule(
                            STEP.multipliedBy(event),
                            () -> exchange.write("id: " + event + "\ndata: "
                                    + (event == 1 ? "heard " + heard : "word" + event) + "\n\n")));
            loop.schedule(STEP.multipliedBy(EVENTS + 1L), exchange::endStream);
        }
    }

    /**
     * What a turn adds to its chain besides its input.
     *
     * @param heard bytes that the runner was given
     * @return the data of all events, each followed by a line feed
     */
    public static byte[] output(int heard) {
        StringBuilder text = new StringBuilder("heard " + heard + "\n");
        IntStream.rangeClosed(2, EVENTS)
                .forEach(event -> text.append("word").append(event).append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
