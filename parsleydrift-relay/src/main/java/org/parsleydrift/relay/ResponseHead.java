package org.parsleydrift.relay;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Checks the head of a runner's response for more than one reading. The head of a response that was cut short continues
 * with that of the next one, whose id and stamp then come with the status of the first.
 */
final class ResponseHead {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_NOT_SUCCESSFUL = 300;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int MISDIRECTED = 421;

    private ResponseHead() {}

    /**
     * Returns why a head must not be used.
     *
     * @param response the head
     * @param headerNames names of the headers
     * @return the reason; empty if the head is unambiguous
     */
    static Optional<String> fault(HttpResponse response, HeaderNames headerNames) {
        HttpVersion version = response.protocolVersion();
        HttpHeaders headers = response.headers();
        int status = response.status().code();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return Optional.of("protocol " + version);
        }
        if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
            return Optional.of("status " + status);
        }
        if (isRepeated(headers, headerNames.requestId()) || isRepeated(headers, headerNames.stamp())) {
            return Optional.of("more than one request id or stamp");
        }
        if (status < FIRST_NOT_SUCCESSFUL && headers.contains(headerNames.notExecuted())) {
            return Optional.of("success that is marked as not executed");
        }
        if (!hasPlainEncoding(headers.getAll(HttpHeaderNames.TRANSFER_ENCODING))) {
            return Optional.of("Transfer-Encoding other than chunked");
        }
        boolean isContinued =
                STATUS_LINE.matcher(response.status().reasonPhrase()).find() || mayBeContinued(headers, headerNames);
        return isContinued ? Optional.of("status line within the head") : Optional.empty();
    }

    /**
     * Returns whether a head states that the runner has not executed the request and never will.
     *
     * @param status the status
     * @param headers the headers
     * @param headerNames names of the headers
     */
    static boolean statesNotExecuted(int status, HttpHeaders headers, HeaderNames headerNames) {
        return headers.contains(headerNames.notExecuted()) || status == MISDIRECTED;
    }

    private static boolean isRepeated(HttpHeaders headers, String name) {
        return headers.getAll(name).size() > 1;
    }

    private static boolean hasPlainEncoding(List<String> encodings) {
        return encodings.isEmpty()
                || (encodings.size() == 1
                        && "chunked".equalsIgnoreCase(encodings.getFirst().trim()));
    }

    /**
     * Returns whether a second head may begin within a value. It does not if the id and the length precede the value, and no
     * stamp or "not executed" follows it: a second head would repeat or add one of these.
     */
    private static boolean mayBeContinued(HttpHeaders headers, HeaderNames headerNames) {
        List<Map.Entry<String, String>> fields = headers.entries();
        OptionalInt first = IntStream.range(0, fields.size())
                .filter(each -> STATUS_LINE.matcher(fields.get(each).getValue()).find())
                .findFirst();
        if (first.isEmpty()) {
            return false;
        }
        HttpHeaders preceding = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        fields.subList(0, first.getAsInt()).forEach(each -> preceding.add(each.getKey(), each.getValue()));
        return !preceding.contains(headerNames.requestId())
                || !hasLength(preceding)
                || isAdded(headerNames.stamp(), preceding, headers)
                || isAdded(headerNames.notExecuted(), preceding, headers);
    }

    private static boolean hasLength(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static boolean isAdded(String name, HttpHeaders before, HttpHeaders after) {
        return after.contains(name) && !before.contains(name);
    }
}
