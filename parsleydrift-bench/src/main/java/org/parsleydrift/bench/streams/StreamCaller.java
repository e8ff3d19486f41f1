package org.parsleydrift.bench.streams;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.locks.LockSupport;
import org.parsleydrift.kernel.RuntimeClock;

/**
 * A caller that begins one stream after the other, takes interrupted ones up at another node, and checks that the events
 * it has put together are of one software version and complete. It uses open connections until they are closed.
 */
final class StreamCaller {
    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final int MAX_RESUMPTIONS = 3;
    /** One of so many streams is resumed without its name, as by callers of the interface before software versions. */
    private static final int NAMELESS_SHARE = 4;

    private static final Duration CONNECT_PAUSE = Duration.ofMillis(100);
    private static final int MAX_CONNECTS = 40;
    private static final Duration PAUSE = Duration.ofMillis(40);

    private final String name;
    private final Environment environment;
    private final HttpClient client;
    private final SplittableRandom random;
    private final RuntimeClock clock;
    private final StreamSoakReport report;
    private int streams;

    /** What a caller knows of the fleet. */
    interface Environment {
        /** Returns a node to use, preferably another one than the given. */
        Node choose(SplittableRandom random, Optional<Node> other);

        /** Returns whether two runners of a version or more are ready and have been for a while. */
        boolean isServed(String version);
    }

    /** An entry node. */
    interface Node {
        /** Returns the address for callers, IP:PORT. */
        String address();

        /** Returns whether neither the node nor what it depends on was disturbed lately. */
        boolean isInTouch();

        /** Returns the time of the latest start or signal of the node. */
        long disturbedNanos();
    }

    /** What a caller has received of a stream. */
    private static final class Received {
        private final TreeSet<String> versions = new TreeSet<>();
        private int events;
        private String firstAttempt = "";
    }

    StreamCaller(
            String name,
            Environment environment,
            HttpClient client,
            SplittableRandom random,
            RuntimeClock clock,
            StreamSoakReport report) {
        this.name = name;
        this.environment = environment;
        this.client = client;
        this.random = random;
        this.clock = clock;
        this.report = report;
    }

    /** Streams until the given time. */
    void run(long endNanos) throws InterruptedException {
        while (clock.nanos() - endNanos < 0) {
            stream();
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }

    private void stream() throws InterruptedException {
        String stream = name + "-" + ++streams;
        boolean budgeted = random.nextBoolean();
        boolean names = random.nextInt(NAMELESS_SHARE) > 0;
        Received received = new Received();
        Node node = environment.choose(random, Optional.empty());
        for (int attempt = 0; attempt <= MAX_RESUMPTIONS; attempt++) {
            if (send(stream, attempt, budgeted, names, node, received)) {
                report.count("complete");
                check(stream, received);
                return;
            }
            if (received.events == 0 && attempt > 0) {
                break;
            }
            node = environment.choose(random, Optional.of(node));
            if (received.events > 0) {
                awaitListening(node);
            }
        }
        report.count("given_up");
        check(stream, received);
    }

    /** Waits until a node accepts connections, for as long as callers keep an interrupted stream. */
    private static void awaitListening(Node node) {
        URI address = URI.create("http://" + node.address());
        for (int i = 0; i < MAX_CONNECTS; i++) {
            try {
                new Socket(address.getHost(), address.getPort()).close();
                return;
            } catch (IOException down) {
                LockSupport.parkNanos(CONNECT_PAUSE.toNanos());
            }
        }
    }

    /** Sends one attempt; returns whether the stream is complete. */
    private boolean send(String stream, int attempt, boolean budgeted, boolean names, Node node, Received received)
            throws InterruptedException {
        String id = stream + "-" + attempt;
        boolean resumes = received.events > 0;
        boolean inTouch = node.isInTouch();
        boolean served = resumes && names && environment.isServed(received.versions.first());
        HttpRequest request = request(id, stream, budgeted, names, node, received);
        int before = received.events;
        try {
            HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
            boolean accepted = response.statusCode() == 200;
            report.count((resumes ? "resumed_" : "begun_") + response.statusCode());
            if (response.statusCode() >= 300 && response.statusCode() < 500) {
                report.violation(id + " was denied with " + response.statusCode());
            }
            countInTouch(resumes, inTouch && node.isInTouch(), served, accepted);
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
                if (accepted) {
                    EventReader.read(lines, (event, version) -> accept(id, event, version, received));
                }
            }
            if (!accepted) {
                LockSupport.parkNanos(retryDelay(response).toNanos());
                return false;
            }
            if (received.events != VersionedRunner.EVENTS) {
                report.violation(id + " ended as complete after event " + received.events);
            }
            return true;
        } catch (IOException broken) {
            report.count(received.events > before ? "interrupted" : "failed");
            if (received.events == before) {
                countInTouch(resumes, inTouch && node.isInTouch(), served, false);
            }
            return false;
        }
    }

    private void countInTouch(boolean resumes, boolean inTouch, boolean served, boolean accepted) {
        if (inTouch && !resumes) {
            report.countNewInTouch(accepted);
        } else if (inTouch && served) {
            report.countResumedInTouch(accepted);
        }
    }

    private HttpRequest request(
            String id, String program, boolean budgeted, boolean names, Node node, Received received) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + node.address() + "/dispatch/"))
                .timeout(DEADLINE)
                .header("X-Attempt-Id", id)
                .header("X-Deadline-Ms", Long.toString(DEADLINE.toMillis()))
                .header("X-Program-Id", program)
                .header("X-Token-Count", "100,50")
                .POST(HttpRequest.BodyPublishers.ofString("go"));
        if (budgeted) {
            request.header("X-Token-Budget", "1000");
        }
        if (received.events > 0) {
            request.header("Last-Event-Id", Integer.toString(received.events));
        }
        if (received.events > 0 && names) {
            request.header("Resumes", received.firstAttempt);
        }
        return request.build();
    }

    private void accept(String id, int event, String version, Received received) {
        if (event != received.events + 1) {
            report.violation(id + " brought event " + event + " after " + received.events);
        }
        if (received.events == 0) {
            received.firstAttempt = id;
        }
        received.events = event;
        received.versions.add(version);
    }

    private void check(String stream, Received received) {
        if (received.versions.size() > 1) {
            report.violation(stream + " holds events of " + received.versions);
        }
    }

    private static Duration retryDelay(HttpResponse<?> response) {
        double seconds = response.headers()
                .firstValue("Retry-After")
                .map(Double::parseDouble)
                .orElse(0.1);
        return Duration.ofMillis((long) (Math.min(seconds, 1) * 1000));
    }
}
