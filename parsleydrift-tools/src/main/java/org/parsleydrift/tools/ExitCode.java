package org.parsleydrift.tools;

/** Exit codes of the command-line tools (docs/OPERATIONS.md, "Command line"). */
public final class ExitCode {
    /** The command succeeded. */
    public static final int OK = 0;
    /** The request was rejected or is invalid; it was not executed. */
    public static final int REFUSED = 1;
    /** The command line is invalid. */
    public static final int USAGE = 2;
    /** The request may have been executed; it can be retried safely with the same key. */
    public static final int OUTCOME_UNKNOWN = 3;
    /** No entry node answered, or an interrupted answer could not be resumed. */
    public static final int UNREACHABLE = 4;

    private ExitCode() {}
}
