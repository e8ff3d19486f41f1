package org.parsleydrift.bench.streams;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from the bytes of a connection, so that a run sees what a client library hides. */
final class RawHttp {
    private static final int RADIX_OF_CHUNK_SIZE = 16;

    private RawHttp() {}

    /**
     * The part of a message before its body.
     *
     * @param startLine request line or status line
     * @param headers headers by name in lower case
     */
    record Head(String startLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Returns a part of the start line, which spaces separate. */
        String part(int index) {
            String[] parts = startLine.split(" ", -1);
            return index < parts.length ? parts[index] : "";
        }

        boolean isLast() {
            return header("Connection").equalsIgnoreCase("close");
        }
    }

    /** Reads a head; empty if the connection ends before its first byte. */
    static Optional<Head> readHead(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return Optional.empty();
        }
        String startLine = readLine(in, first);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in, in.read()); !line.isEmpty(); line = readLine(in, in.read())) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("not a header: " + line);
            }
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return Optional.of(new Head(startLine, headers));
    }

    /** Reads the body of a request. */
    static byte[] readRequestBody(InputStream in, Head head) throws IOException {
        return hasFraming(head) ? readFramedBody(in, head) : new byte[0];
    }

    /** Reads the body of a response to a request other than HEAD. */
    static byte[] readResponseBody(InputStream in, Head head) throws IOException {
        return hasFraming(head) ? readFramedBody(in, head) : in.readAllBytes();
    }

    private static boolean hasFraming(Head head) {
        return !head.header("Content-Length").isEmpty()
                || head.header("Transfer-Encoding").equalsIgnoreCase("chunked");
    }

    private static byte[] readFramedBody(InputStream in, Head head) throws IOException {
        if (!head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            return readFully(in, Integer.parseInt(head.header("Content-Length")));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size;
        do {
            size = Integer.parseInt(readLine(in, in.read()), RADIX_OF_CHUNK_SIZE);
            body.write(readFully(in, size));
            readLine(in, in.read());
        } while (size > 0);
        return body.toByteArray();
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body ends after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in, int first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = first;
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("connection ends within a line: " + line.toString(ISO_8859_1));
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(ISO_8859_1);
    }
}
