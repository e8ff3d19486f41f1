package org.parsleydrift.journal;

/** The keys of a journal's objects in the object store. */
public final class JournalKeys {
    private static final String PREFIX = "journal/";

    private JournalKeys() {}

    /**
     * Returns the common key prefix of a journal's objects.
     *
     * @param incarnation the owner of the journal
     * @return the prefix, ending with a slash
     */
    public static String prefix(String incarnation) {
        return PREFIX + incarnation + "/";
    }

    /**
     * Returns the key of a segment. Keys sort in order of their sequence numbers.
     *
     * @param incarnation the owner of the journal
     * @param sequence the sequence number of the segment, from 1
     * @return the key
     */
    public static String segment(String incarnation, long sequence) {
        return prefix(incarnation) + String.format("%012d", sequence);
    }

    /**
     * Parses the sequence number of a segment's key.
     *
     * @param key the key
     * @return the sequence number
     * @throws NumberFormatException if the key does not end with a number
     */
    public static long sequence(String key) {
        return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    }
}
