package org.parsleydrift.conversation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What programs have surely generated, as far as this node has read it. Tokens of turns that ended whole are never given
 * back, so a turn that does not fit beside them can be refused without asking the store VMs. Load pattern: programs that
 * loop send turns again and again after their budget is spent; each cost a write, a read and a release at three VMs.
 */
final class SpentPrograms {
    /** Programs remembered; some 100 bytes each. */
    private static final int MOST = 4096;

    private final Map<String, Integer> settled = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MOST;
        }
    };

    /** Notes tokens of a program's turns that ended whole. */
    void settled(String program, int tokens) {
        if (!program.isEmpty()) {
            settled.merge(program, tokens, Math::max);
        }
    }

    /** Tokens that the program has generated at least. */
    int atLeast(String program) {
        return settled.getOrDefault(program, 0);
    }
}
