package org.parsleydrift.node;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.EngineClient;
import org.parsleydrift.node.peer.PeerLinks;

/**
 * All that a node meets of the outside; sockets in the daemon, fakes in tests.
 *
 * @param loop the node's loop
 * @param store the platform
 * @param engines model engines
 * @param calls tools and plain services
 * @param links other nodes
 * @param random chance, seeded in tests
 * @param meters metrics
 */
public record NodeEnvironment(
        EventLoop loop,
        ObjectStore store,
        EngineClient engines,
        CallClient calls,
        PeerLinks links,
        RandomGenerator random,
        MeterRegistry meters) {}
