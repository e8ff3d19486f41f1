package org.parsleydrift.bench.streams;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A port of the loopback interface to which connections are neither established nor refused, as to a VM without power. */
final class SilentListener implements AutoCloseable {
    private static final int BACKLOG = 1;
    /** More connections than the queue of the listener holds. */
    private static final int MAX_FILLERS = 8;

    private static final int CONNECT_TIMEOUT_MILLIS = 50;

    private final ServerSocket listener = new ServerSocket();
    private final List<Socket> fillers = new ArrayList<>();

    SilentListener(int port) throws IOException {
        listener.setReuseAddress(true);
        var address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        listener.bind(address, BACKLOG);
        boolean full = false;
        while (!full && fillers.size() < MAX_FILLERS) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(address, CONNECT_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException queueFull) {
                full = true;
            }
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket each : fillers) {
                each.close();
            }
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }
}
