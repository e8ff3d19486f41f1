package org.parsleydrift.standin;

import java.util.List;

/**
 * What the stand-in engine says and asks for in one turn.
 *
 * @param tokens how many tokens it says
 * @param actions lines as an engine gives them
 */
public record ScriptTurn(int tokens, List<String> actions) {}
