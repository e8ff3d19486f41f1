package org.parsleydrift.conversation;

/**
 * Identity of a record of a store VM.
 *
 * @param kind the kind of record
 * @param id the ID of the turn, of the request of a grant, of the stream of an origin, or of the last turn of an inherited chain
 */
record RecordKey(Kind kind, String id) {
    /** Kinds of records, whose IDs may be equal. */
    enum Kind {
        TURN,
        GRANT,
        ORIGIN,
        CHAIN
    }

    static RecordKey of(Turn turn) {
        return new RecordKey(Kind.TURN, turn.id());
    }

    static RecordKey of(Grant grant) {
        return new RecordKey(Kind.GRANT, grant.request());
    }

    static RecordKey of(StreamOrigin origin) {
        return new RecordKey(Kind.ORIGIN, origin.stream());
    }

    static RecordKey of(InheritedChain chain) {
        return new RecordKey(Kind.CHAIN, chain.lastTurn());
    }
}
