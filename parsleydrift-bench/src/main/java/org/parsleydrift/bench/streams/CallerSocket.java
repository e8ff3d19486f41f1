package org.parsleydrift.bench.streams;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.time.Duration;

/** A caller's connection, which tells what the node does with it between two requests. */
final class CallerSocket implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CHECK_MILLIS = 1;

    private final Socket socket = new Socket();
    private final PushbackInputStream in;

    /** What the node has done with a connection. */
    enum State {
        OPEN,
        HAS_BYTES,
        CLOSED
    }

    CallerSocket(String address) throws IOException {
        URI uri = URI.create("http://" + address);
        socket.setTcpNoDelay(true);
        try {
            socket.connect(new InetSocketAddress(uri.getHost(), uri.getPort()), CONNECT_TIMEOUT_MILLIS);
            this.in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES));
        } catch (IOException refused) {
            socket.close();
            throw refused;
        }
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Returns whether the node has sent something or closed the connection. */
    State state() throws IOException {
        socket.setSoTimeout(CHECK_MILLIS);
        try {
            int next = in.read();
            if (next < 0) {
                return State.CLOSED;
            }
            in.unread(next);
            return State.HAS_BYTES;
        } catch (SocketTimeoutException silent) {
            return State.OPEN;
        }
    }

    /** Returns the bytes that the node sends, reading which fails if none arrives for the given time. */
    InputStream read(Duration timeout) throws IOException {
        socket.setSoTimeout((int) timeout.toMillis());
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
