package org.parsleydrift.tools;

/** Exit codes of the command-line tools (docs/OPERATIONS.md, "Command line"). */
public final class ExitCode {
    /** Done. */
    public static final int OK = 0;
    /** Refused: it did not run, or the request makes no sense. */
    public static final int REFUSED = 1;
    /** The command line makes no sense. */
    public static final int USAGE = 2;
    /** It may have run; the same command with the same key is safe. */
    public static final int OUTCOME_UNKNOWN = 3;
    /** No entry node answered, or an answer was cut and could not be resumed. */
    public static final int UNREACHABLE = 4;

    private ExitCode() {}
}
