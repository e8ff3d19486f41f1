package org.parsleydrift.conversation;

import java.util.Arrays;

/** The state of a grant. The declaration order is the order of precedence when replicas differ. */
public enum GrantState {
    /** The request may run or was interrupted; counts with the maximum number of tokens that it may generate. */
    RESERVED(1),
    /** No runner has started the request; does not count. */
    RELEASED(2),
    /** The number of generated tokens is known; counts with that number. */
    SETTLED(3);

    private final byte code;

    GrantState(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }

    static GrantState of(byte code) {
        return Arrays.stream(values())
                .filter(each -> each.code == code)
                .findAny()
                .orElseThrow(() -> new IllegalArgumentException("unknown grant state code " + code));
    }
}
