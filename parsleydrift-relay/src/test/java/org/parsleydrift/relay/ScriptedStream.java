package org.parsleydrift.relay;

/** Replies of runners that stream events. */
final class ScriptedStream {
    private static final int EVENTS = 4;

    private ScriptedStream() {}

    /** A new stream stops after its second event without an end; a resumed one is complete. */
    static String reply(String request) {
        String after = ScriptedRunner.header(request, "Last-Event-Id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        int last = after.isEmpty() ? 2 : EVENTS;
        StringBuilder body = new StringBuilder();
        for (int event = first; event <= last; event++) {
            body.append("id: ").append(event).append("\ndata: e").append(event).append("\n\n");
        }
        int missing = after.isEmpty() ? 40 : 0;
        return "HTTP/1.1 200 OK\r\nParsleydrift-Request: " + ScriptedRunner.header(request, "Parsleydrift-Request")
                + "\r\nParsleydrift-Stamp: s\r\nContent-Length: " + (body.length() + missing) + "\r\n\r\n" + body;
    }

    /** Rejects a request as not executed. */
    static String reject(String request) {
        return ScriptedRunner.response("503 Full", request, "Parsleydrift-Not-Executed: 1\r\n", "");
    }
}
