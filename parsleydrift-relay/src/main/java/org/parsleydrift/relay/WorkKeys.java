package org.parsleydrift.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import org.parsleydrift.placement.WorkKey;
import org.parsleydrift.registry.RoutingManifest;

/** Computes the {@link WorkKey} of a request. */
final class WorkKeys {
    private static final String ALGORITHM = "SHA-256";

    private WorkKeys() {}

    /**
     * Returns the key of the work that a request asks for. It covers what all attempts at the work share: who asks, the
     * position in the program, and the request itself. Last-Event-Id and the headers of the single attempt are left out, and
     * so is the port of the host, which may be that of the node.
     *
     * @param owner owner of the request, as several owners may use the same program ids
     * @param request the request as the caller sent it
     * @param headerNames names of the headers
     * @return the key; the same on all nodes
     */
    static WorkKey of(String owner, CallerRequest request, HeaderNames headerNames) {
        MessageDigest digest = newDigest();
        List.of(
                        owner,
                        request.headers().get(headerNames.program(), ""),
                        request.headers().get(headerNames.session(), ""),
                        request.headers().get(headerNames.previousTurn(), ""),
                        RoutingManifest.hostName(request.host()),
                        request.method(),
                        request.target())
                .forEach(each -> update(digest, each.getBytes(StandardCharsets.UTF_8)));
        update(digest, request.body());
        ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
        boolean shared = request.headers().get(headerNames.program(), "").isEmpty();
        return WorkKey.of(bytes.getLong(), bytes.getLong(), shared);
    }

    /** Adds a field with its length, which separates it from the next one. */
    private static void update(MessageDigest digest, byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
        digest.update(field);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports " + ALGORITHM, e);
        }
    }
}
