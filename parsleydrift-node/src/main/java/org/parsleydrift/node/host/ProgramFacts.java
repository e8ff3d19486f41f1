package org.parsleydrift.node.host;

import java.util.LinkedHashMap;
import java.util.SequencedMap;
import org.parsleydrift.program.ProgramState;

/** What an operator or caller is told who asks why a program is where it is. */
final class ProgramFacts {
    private ProgramFacts() {}

    static SequencedMap<String, String> of(LiveProgram live) {
        ProgramState state = live.state();
        SequencedMap<String, String> facts = new LinkedHashMap<>();
        facts.put("program", state.id().toString());
        facts.put("agent", state.agent());
        facts.put("generation", Long.toString(state.generation()));
        facts.put("end", state.hasEnded() ? state.end().name() : "-");
        facts.put("detail", state.detail());
        facts.put("under_way", String.join(",", live.running().keySet()));
        facts.put("agents", Integer.toString(state.agents().size()));
        facts.put("turns", state.usage().turns() + "/" + state.budget().turns());
        facts.put("tokens", state.usage().tokens() + "/" + state.budget().tokens());
        facts.put("calls", state.usage().calls() + "/" + state.budget().calls());
        facts.put("durable", Boolean.toString(live.isDurable()));
        return facts;
    }
}
