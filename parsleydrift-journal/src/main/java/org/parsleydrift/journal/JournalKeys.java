package org.parsleydrift.journal;

/** Names of a journal's objects on the platform. */
public final class JournalKeys {
    private static final String PREFIX = "journal/";

    private JournalKeys() {}

    /**
     * The prefix of all objects of a journal.
     *
     * @param incarnation the journal's node incarnation
     * @return the prefix
     */
    public static String prefix(String incarnation) {
        return PREFIX + incarnation + "/";
    }

    /**
     * The name of one segment. Names sort as their sequence numbers do.
     *
     * @param incarnation the journal's node incarnation
     * @param sequence the segment's number, from 1
     * @return the name
     */
    public static String segment(String incarnation, long sequence) {
        return prefix(incarnation) + String.format("%012d", sequence);
    }

    /**
     * Reads the sequence number out of a segment's name.
     *
     * @param key the name
     * @return its number
     */
    public static long sequence(String key) {
        return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    }
}
