package org.parsleydrift.relay;

import java.util.Locale;
import java.util.function.Predicate;

/**
 * Finds the head of another response within a body. A runner that responds twice, the second time late, may write the
 * second response behind a body without length, behind one that was cut short, or into the middle of one. A status line
 * alone is not enough, as bodies may tell of HTTP; the head must bear the id of a request of the same connection.
 */
final class EmbeddedHeadDetector {
    /** Begin of a status line; {@code #} stands for a digit. */
    private static final String STATUS_LINE = "HTTP/1.# ###";
    /** Maximum length of a line of a head; the decoder of heads has the same limit. */
    private static final int MAX_LINE_BYTES = 8 << 10;

    private final String idPrefix;
    private final Predicate<String> isServed;
    private final StringBuilder line = new StringBuilder();
    private int matched;
    private boolean inHead;
    private boolean inStatusLine;

    /**
     * Creates a detector for one body.
     *
     * @param idHeader name of the header with the request id
     * @param isServed tells whether an id is that of a request of the connection
     */
    EmbeddedHeadDetector(String idHeader, Predicate<String> isServed) {
        this.idPrefix = idHeader.toLowerCase(Locale.ROOT) + ':';
        this.isServed = isServed;
    }

    /** Reads the next bytes of the body; returns whether they complete the head of another response. */
    boolean detect(byte[] bytes) {
        boolean detected = false;
        for (byte each : bytes) {
            detected |= read((char) (each & 0xff));
        }
        return detected;
    }

    /**
     * Returns whether the end of the body lies within the head of another response.
     *
     * @param following the bytes that were received after the body
     */
    boolean isCutBy(byte[] following) {
        if (following.length == 0) {
            return false;
        }
        if (inHead) {
            return true;
        }
        int length = Math.min(following.length, STATUS_LINE.length() - matched);
        for (int i = 0; i < length; i++) {
            if (!matches(matched + i, (char) (following[i] & 0xff))) {
                return false;
            }
        }
        return matched > 0;
    }

    /** Returns whether the bytes read so far end within a head. */
    boolean isWithinHead() {
        return inHead;
    }

    private boolean read(char next) {
        if (matches(matched, next)) {
            matched++;
        } else {
            matched = matches(0, next) ? 1 : 0;
        }
        if (matched == STATUS_LINE.length()) {
            matched = 0;
            inHead = true;
            inStatusLine = true;
            line.setLength(0);
            return false;
        }
        return inHead && readHead(next);
    }

    private boolean readHead(char next) {
        if (next != '\n') {
            line.append(next);
            inHead = line.length() <= MAX_LINE_BYTES;
            return false;
        }
        String header = line.toString().trim();
        line.setLength(0);
        if (inStatusLine) {
            inStatusLine = false;
            return false;
        }
        inHead = header.indexOf(':') > 0;
        return header.toLowerCase(Locale.ROOT).startsWith(idPrefix)
                && isServed.test(header.substring(idPrefix.length()).trim());
    }

    private static boolean matches(int position, char next) {
        char expected = STATUS_LINE.charAt(position);
        return expected == '#' ? next >= '0' && next <= '9' : next == expected;
    }
}
