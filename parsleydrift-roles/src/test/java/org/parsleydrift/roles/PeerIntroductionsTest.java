package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.StepException;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Nodes that learn of each other without the platform's list of nodes. */
public class PeerIntroductionsTest {
    private final Map<String, List<NodeIdentity>> known = new HashMap<>();
    private final Map<String, PeerIntroductions> nodes = new HashMap<>();

    private static NodeIdentity node(String name) {
        return new NodeIdentity(name, "z", "127.0.0.1:1", name);
    }

    private void start(String name, String... peers) {
        known.put(
                name,
                new ArrayList<>(
                        List.of(peers).stream().map(PeerIntroductionsTest::node).toList()));
        FrameSender frames = new FrameSender() {
            @Override
            public void send(String link, byte[] frame) {
                nodes.get(link).receive(frame);
            }

            @Override
            public void reset(String link) {}
        };
        nodes.put(name, new PeerIntroductions(frames, name, () -> known.get(name), known.get(name)::add));
    }

    /** Guards against nodes that start together while the platform is away and never report lost runners to each other. */
    @Test
    public void startingNodeLearnsThePeersOfThoseThatItHears() {
        start("survivor", "a", "b");
        start("a");
        nodes.get("a").ask(node("survivor"));
        assertEquals(known.get("a"), List.of(node("a"), node("b")));
    }

    /** Guards against frames for peers that the platform has listed. */
    @Test
    public void listedNodeDoesNotAsk() {
        start("survivor", "a", "b");
        start("a");
        nodes.get("a").peersListed();
        nodes.get("a").ask(node("survivor"));
        assertEquals(known.get("a"), List.of());
    }

    /** Guards against frames of other types, or malformed ones, that are taken for introductions. */
    @Test
    public void otherAndMalformedFramesAreNotAccepted() {
        start("a");
        assertFalse(nodes.get("a").receive(new byte[] {RunnerLossFrame.QUERY}));
        assertFalse(nodes.get("a").receive(new byte[0]));
        Assert.assertThrows(StepException.class, () -> nodes.get("a").receive(new byte[] {29}));
        assertEquals(known.get("a"), List.of());
    }
}
