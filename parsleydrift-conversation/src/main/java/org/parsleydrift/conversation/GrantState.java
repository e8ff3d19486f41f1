package org.parsleydrift.conversation;

import java.util.Arrays;

/** How far a grant is; later states come later in the list. */
public enum GrantState {
    /** Counts at its most: the request may run, or broke off. */
    RESERVED(1),
    /** Counts nothing: no runner can have begun the request. */
    RELEASED(2),
    /** Counts what was generated: the request ended whole. */
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
                .orElseThrow(() -> new IllegalArgumentException("unknown grant state " + code));
    }
}
