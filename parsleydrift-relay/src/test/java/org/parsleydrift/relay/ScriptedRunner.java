package org.parsleydrift.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.parsleydrift.registry.Runner;

/** HTTP runner whose responses a test scripts. */
final class ScriptedRunner implements AutoCloseable {
    /** Reply that resets the connection. */
    static final String RESET = "reset";
    /** Reply that ends the runner: it resets all connections and accepts no more. */
    static final String CRASH = "crash";
    /** Reply that is never sent; the connection stays open. */
    static final String SILENCE = "silence";

    /** Reply that ends the runner silently: it accepts no more connections, and those that are open stay so. */
    static final String VANISH = "vanish";

    /** Pause of a slow reply between the bytes that it repeats. */
    private static final long SLOW_PAUSE_NANOS = 5_000_000;
    /** Separates the bytes that an endless reply begins with from those that it repeats. */
    private static final String REPEATED = "\0repeated\0";

    private static final String SLOW = "\0slow\0";
    private static final String CLOSE = "\0close\0";
    /** Separates a reply from the bytes that follow it late, before the next reply on the connection. */
    private static final String LATE = "\0late\0";

    final AtomicLong endlessBytes = new AtomicLong();
    final List<String> requests = new CopyOnWriteArrayList<>();
    final CountDownLatch disconnected = new CountDownLatch(1);
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener;
    private final String id;
    private final Function<String, String> script;

    ScriptedRunner(String id, Function<String, String> script) throws IOException {
        this.id = id;
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::accept, id);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    Runner entry() {
        return new Runner(id, "s", "127.0.0.1:" + listener.getLocalPort(), "z", 4, false);
    }

    static String response(String status, String request, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\nParsleydrift-Request: " + header(request, "Parsleydrift-Request") + "\r\n"
                + (headers.contains("Parsleydrift-Stamp") ? "" : "Parsleydrift-Stamp: s\r\n") + headers
                + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a reply that repeats some bytes until the connection is closed. */
    static String endless(String begin, String repeated) {
        return begin + REPEATED + repeated;
    }

    /** Returns a reply that repeats some bytes slowly until the connection is closed. */
    static String endlessAndSlow(String begin, String repeated) {
        return SLOW + endless(begin, repeated);
    }

    /** Returns a reply with which the runner ends: it closes its connections, without a reset, and accepts no more. */
    static String lastReply(String reply) {
        return reply + CLOSE;
    }

    /** Returns a reply with bytes that follow late, at the point where the next response is expected. */
    static String followedBy(String reply, String late) {
        return reply + LATE + late;
    }

    static String header(String request, String name) {
        return request.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void writeEndlessly(OutputStream out, String[] beginAndRepeated) throws IOException {
        boolean slow = beginAndRepeated[0].startsWith(SLOW);
        out.write(beginAndRepeated[0].substring(slow ? SLOW.length() : 0).getBytes(ISO_8859_1));
        byte[] repeated = beginAndRepeated[1].getBytes(ISO_8859_1);
        while (true) {
            out.write(repeated);
            endlessBytes.addAndGet(repeated.length);
            if (slow) {
                LockSupport.parkNanos(SLOW_PAUSE_NANOS);
            }
        }
    }

    private void crash() throws IOException {
        listener.close();
        disconnect();
    }

    /** Resets all connections, as the end of a process does that is back at once. */
    void disconnect() throws IOException {
        for (Socket each : connections) {
            each.setSoLinger(true, 0);
            each.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                Thread thread = new Thread(() -> serve(socket), id + "-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // close() was called at the end of the test.
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            String late = "";
            for (String request = read(in); !request.isEmpty(); request = read(in)) {
                requests.add(request);
                String[] parts = script.apply(request).split(LATE, 2);
                String reply = parts[0];
                socket.getOutputStream().write(late.getBytes(ISO_8859_1));
                late = parts.length > 1 ? parts[1] : "";
                if (reply.equals(RESET)) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                if (reply.equals(CRASH)) {
                    crash();
                    return;
                }
                if (reply.equals(VANISH)) {
                    listener.close();
                }
                if (reply.endsWith(CLOSE)) {
                    listener.close();
                    socket.getOutputStream().write(reply.replace(CLOSE, "").getBytes(ISO_8859_1));
                    return;
                }
                if (reply.contains(REPEATED)) {
                    writeEndlessly(socket.getOutputStream(), reply.split(REPEATED, 2));
                }
                if (!reply.equals(SILENCE) && !reply.equals(VANISH)) {
                    socket.getOutputStream().write(reply.getBytes(ISO_8859_1));
                }
            }
            disconnected.countDown();
        } catch (IOException closed) {
            disconnected.countDown();
        }
    }

    /** Reads a request with its body; returns the empty string at the end of the connection. */
    private static String read(InputStream in) {
        try {
            StringBuilder text = new StringBuilder();
            while (text.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return "";
                }
                text.append((char) next);
            }
            String length = header(text.toString(), "Content-Length");
            byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
            return text + new String(body, ISO_8859_1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
