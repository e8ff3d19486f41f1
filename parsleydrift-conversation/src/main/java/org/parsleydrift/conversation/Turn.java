package org.parsleydrift.conversation;

/**
 * The input and output of one turn of a conversation. Immutable once written.
 *
 * @param id the ID of the request that produced it
 * @param previous the ID of the preceding turn; empty at the start of a chain
 * @param input the request body sent by the caller
 * @param output the data of the response events, each followed by a line feed
 */
public record Turn(String id, String previous, byte[] input, byte[] output) {
    /** Returns the size of the input and the output together, bytes. */
    int textBytes() {
        return input.length + output.length;
    }
}
