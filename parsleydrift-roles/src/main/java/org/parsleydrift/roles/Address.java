package org.parsleydrift.roles;

import java.net.InetSocketAddress;

/**
 * Network address.
 *
 * @param host IP
 * @param port port, 0 to 65535; 0 lets the system choose one
 */
public record Address(String host, int port) {
    /**
     * Parses an address.
     *
     * @param text text of the form IP:PORT
     * @return the address
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("invalid address '" + text + "', expected IP:PORT");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > 65535) {
            throw new IllegalArgumentException("invalid address '" + text + "', expected a port from 0 to 65535");
        }
        return new Address(text.substring(0, colon), port);
    }

    /**
     * Returns the address for use with sockets.
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
