package org.parsleydrift.standin;

import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;

/**
 * A request of a stand-in caller in the users' dialect.
 *
 * @param id the id of this try
 * @param program the program that it belongs to
 * @param previousTurn the try whose turn this one continues, or empty
 * @param body what is said
 */
record CallerRequest(String id, String program, String previousTurn, String body) {
    private static final Duration DEADLINE = Duration.ofSeconds(3);
    /** Tokens that all turns of a program may generate: enough for the programs of both callers. */
    private static final int TOKEN_BUDGET = 1000;
    /** Tokens of the prompt and the most that one turn generates. */
    private static final String TOKEN_COUNT = "650,20";

    /** The request as a turn of a conversation that the system keeps. */
    HttpRequest turn(String entry) {
        HttpRequest.Builder request = request(entry, "/talk/")
                .header("X-Token-Budget", String.valueOf(TOKEN_BUDGET))
                .header("X-Token-Count", TOKEN_COUNT);
        return (previousTurn.isEmpty() ? request : request.header("X-Previous-Turn", previousTurn)).build();
    }

    /** The request as a call that must not repeat. */
    HttpRequest call(String entry) {
        return request(entry, "/crew/").build();
    }

    private HttpRequest.Builder request(String entry, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + entry + path))
                .header("X-Attempt-Id", id)
                .header("X-Program-Id", program)
                .header("X-Deadline-Ms", String.valueOf(DEADLINE.toMillis()))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }
}
