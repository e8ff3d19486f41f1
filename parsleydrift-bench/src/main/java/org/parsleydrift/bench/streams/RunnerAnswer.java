package org.parsleydrift.bench.streams;

import java.util.SplittableRandom;

/** How a runner answers a call. */
enum RunnerAnswer {
    WHOLE(0, 0),
    /** After some seconds. */
    SLOW(5, 5),
    /** Never; its connection stays open. */
    UNANSWERED(3, 3),
    /** The same response once more on the same connection, at once or later. */
    REPEATED(0, 8),
    /** Without a length; the response ends with its connection. */
    UNFRAMED(0, 4),
    /** Without a length, followed by the same response before the connection ends. */
    UNFRAMED_REPEATED(0, 4),
    /** A part of the body, then the same response once more, wholly. */
    CUT_THEN_WHOLE(0, 3),
    /** A whole response, then a part of the same response. */
    WHOLE_THEN_CUT(0, 3),
    /** Before the body of the request is read, which is read after it. */
    EARLY(0, 4);

    private final int percent;
    private final int irregularPercent;

    RunnerAnswer(int percent, int irregularPercent) {
        this.percent = percent;
        this.irregularPercent = irregularPercent;
    }

    /** Draws an answer; whole ones are all that remain. */
    static RunnerAnswer draw(SplittableRandom random, boolean irregular) {
        int left = random.nextInt(100);
        for (RunnerAnswer each : values()) {
            left -= irregular ? each.irregularPercent : each.percent;
            if (left < 0) {
                return each;
            }
        }
        return WHOLE;
    }

    /** Returns whether the response breaks off, so that a caller may get an incomplete one. */
    boolean isBrokenOff() {
        return this == UNFRAMED_REPEATED || this == CUT_THEN_WHOLE;
    }
}
