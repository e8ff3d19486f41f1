package org.parsleydrift.conversation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cache of the settled tokens of programs, as last read by this node. Settled tokens are never returned to the budget, so a
 * turn that does not fit beside them can be refused without requests to the store VMs.
 */
final class SettledTokenCache {
    /** Maximum number of cached programs. */
    private static final int MAX_PROGRAMS = 4096;

    private final Map<String, Integer> tokensByProgram = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_PROGRAMS;
        }
    };

    /** Records the sum of a program's settled tokens. */
    void update(String program, int tokens) {
        if (!program.isEmpty()) {
            tokensByProgram.merge(program, tokens, Math::max);
        }
    }

    /** Returns a lower bound of the tokens that a program has generated. */
    int lowerBound(String program) {
        return tokensByProgram.getOrDefault(program, 0);
    }
}
