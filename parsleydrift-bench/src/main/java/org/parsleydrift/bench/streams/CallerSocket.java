package org.parsleydrift.bench.streams;

import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** A caller's connection, which tells what the node does with it between two requests. */
final class CallerSocket implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CHECK_MILLIS = 1;
    private static final int SMALL_BUFFER_BYTES = 16 << 10;
    /** Pause after each buffer of a slow reader, which reads 2 MB within some 4 s. */
    private static final Duration SLOW_PAUSE = Duration.ofMillis(30);

    private final Socket socket = new Socket();
    private final PushbackInputStream in;

    /** What the node has done with a connection. */
    enum State {
        OPEN,
        HAS_BYTES,
        CLOSED
    }

    private static final class SlowStream extends FilterInputStream {
        private SlowStream(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = super.read(bytes, offset, length);
            if (count == length) {
                LockSupport.parkNanos(SLOW_PAUSE.toNanos());
            }
            return count;
        }
    }

    /**
     * Opens a connection.
     *
     * @param address address of a node, IP:PORT
     * @param slow whether its responses are read slowly, so that they wait at the node
     */
    CallerSocket(String address, boolean slow) throws IOException {
        URI uri = URI.create("http://" + address);
        socket.setTcpNoDelay(true);
        if (slow) {
            socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        }
        try {
            socket.connect(new InetSocketAddress(uri.getHost(), uri.getPort()), CONNECT_TIMEOUT_MILLIS);
            InputStream bytes = slow ? new SlowStream(socket.getInputStream()) : socket.getInputStream();
            this.in = new PushbackInputStream(new BufferedInputStream(bytes, BUFFER_BYTES));
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
