package org.parsleydrift.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds the head of another response within a body. A runner that responds twice, the second time late, may write the
 * second response behind a body without length, behind one that was cut short, or into the middle of one. A status line
 * alone is not enough, as bodies may tell of HTTP; the head must bear the id of a request of the same connection.
 * Bodies may also repeat the id of their own request, which the caller knows. If their response bears a stamp, a success
 * with that id counts only with a stamp; without one it would not be accepted as a response either.
 */
final class EmbeddedHeadDetector {
    /** Begin of a status line; {@code #} stands for a digit. */
    private static final String STATUS_LINE = "HTTP/1.# ###";

    private static final byte FIRST_BYTE = (byte) STATUS_LINE.charAt(0);

    /** Maximum length of a line of a head; the decoder of heads has the same limit. */
    private static final int MAX_LINE_BYTES = 8 << 10;
    /** First digit of the lowest status that is neither an interim response nor a success. */
    private static final char FIRST_FAILURE = '3';

    /** Position of the first digit of the status in a status line. */
    private static final int STATUS_POSITION = STATUS_LINE.indexOf(" ###") + 1;

    private final String idPrefix;
    private final String stampPrefix;
    /** Id of the request whose response has the body, if that bears a stamp. */
    private final Optional<String> stampedId;

    private final Predicate<String> isServed;
    private final StringBuilder line = new StringBuilder();
    private int matched;
    private boolean inHead;
    private boolean inStatusLine;
    private char statusDigit;
    /** Whether the head is that of an interim response or of a success. */
    private boolean needsStamp;

    private boolean hasOwnId;
    private boolean hasStamp;

    /**
     * Creates a detector for one body.
     *
     * @param headerNames names of the headers
     * @param headers headers of the response that has the body
     * @param isServed tells whether an id is that of a request of the connection
     */
    EmbeddedHeadDetector(HeaderNames headerNames, HttpHeaders headers, Predicate<String> isServed) {
        this.idPrefix = headerNames.requestId().toLowerCase(Locale.ROOT) + ':';
        this.stampPrefix = headerNames.stamp().toLowerCase(Locale.ROOT) + ':';
        this.stampedId = headers.contains(headerNames.stamp())
                ? Optional.ofNullable(headers.get(headerNames.requestId()))
                : Optional.empty();
        this.isServed = isServed;
    }

    /** Reads the next bytes of the body; returns whether they complete the head of another response. */
    boolean detect(byte[] bytes) {
        boolean detected = false;
        for (byte each : bytes) {
            // Most bytes are not part of any head.
            if (matched > 0 || inHead || each == FIRST_BYTE) {
                detected |= read((char) (each & 0xff));
            }
        }
        return detected;
    }

    /**
     * Returns whether the end of the body lies within the head of another response.
     *
     * @param following the bytes that were received after the body
     */
    boolean isCutBy(byte[] following) {
        if (inHead && hasOwnId) {
            return true;
        }
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
        if (matched == STATUS_POSITION) {
            statusDigit = next;
        }
        if (matches(matched, next)) {
            matched++;
        } else {
            matched = matches(0, next) ? 1 : 0;
        }
        if (matched == STATUS_LINE.length()) {
            beginHead();
            return false;
        }
        return inHead && readHead(next);
    }

    /** Begins a head; one that begins within another, which was cut short, goes on with what that has told. */
    private void beginHead() {
        needsStamp = (needsStamp || !inHead) && statusDigit < FIRST_FAILURE;
        hasOwnId &= inHead;
        hasStamp &= inHead;
        matched = 0;
        inHead = true;
        inStatusLine = true;
        line.setLength(0);
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
        String lowerCase = header.toLowerCase(Locale.ROOT);
        hasStamp |= lowerCase.startsWith(stampPrefix);
        if (lowerCase.startsWith(idPrefix)) {
            String id = header.substring(idPrefix.length()).trim();
            hasOwnId |= stampedId.filter(id::equals).isPresent();
            return hasOwnId ? hasStamp || !needsStamp : isServed.test(id);
        }
        return hasOwnId && hasStamp;
    }

    private static boolean matches(int position, char next) {
        char expected = STATUS_LINE.charAt(position);
        return expected == '#' ? next >= '0' && next <= '9' : next == expected;
    }
}
