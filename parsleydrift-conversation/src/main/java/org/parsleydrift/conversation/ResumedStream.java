package org.parsleydrift.conversation;

/** The interrupted stream that a turn continues. */
public sealed interface ResumedStream {
    /** The turn begins a new stream. */
    record None() implements ResumedStream {}

    /**
     * The stream is known.
     *
     * @param stream the ID of the stream
     */
    record Named(String stream) implements ResumedStream {}

    /**
     * One of the streams of the turn's program, not known which. Its origin is known only if all of them have the same.
     *
     * @param streamPrefix what precedes a request ID in the ID of its stream
     */
    record OfProgram(String streamPrefix) implements ResumedStream {}
}
