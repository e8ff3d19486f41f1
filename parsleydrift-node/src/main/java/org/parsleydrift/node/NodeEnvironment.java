package org.parsleydrift.node;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.random.RandomGenerator;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.upstream.CallClient;
import org.parsleydrift.kernel.upstream.EngineClient;
import org.parsleydrift.node.peer.PeerLinks;

/**
 * External dependencies of a node: network clients in the daemon, simulated ones in tests.
 *
 * @param loop the event loop that the node is confined to
 * @param store object store of the platform
 * @param engines client of the model engines
 * @param calls client of tools and services
 * @param links connections to peers
 * @param random source of randomness, seeded in tests
 * @param meters metrics registry
 */
public record NodeEnvironment(
        EventLoop loop,
        ObjectStore store,
        EngineClient engines,
        CallClient calls,
        PeerLinks links,
        RandomGenerator random,
        MeterRegistry meters) {}
