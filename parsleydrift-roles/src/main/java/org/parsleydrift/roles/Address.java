package org.parsleydrift.roles;

import java.net.InetSocketAddress;

/**
 * IP and port.
 *
 * @param host the IP
 * @param port the port
 */
public record Address(String host, int port) {
    /**
     * Reads "IP:PORT".
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if it is none
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not IP:PORT");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > 65535) {
            throw new IllegalArgumentException("'" + text + "' has no port from 0 to 65535");
        }
        return new Address(text.substring(0, colon), port);
    }

    /**
     * For sockets.
     *
     * @return the socket address
     */
    public InetSocketAddress socket() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }
}
