package org.parsleydrift.node.caller;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.parsleydrift.node.host.ProgramHost;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.membership.NodeRegistry;
import org.parsleydrift.node.ownership.OwnerDirectory;
import org.parsleydrift.node.peer.PeerMessage;

/**
 * The ways from this node to the owners of programs.
 *
 * @param self this incarnation
 * @param directory who owns what
 * @param host the programs here
 * @param registry the other nodes
 * @param send sends a message to a node
 * @param reset makes the next message to a node open a new connection
 */
public record OwnerRoutes(
        String self,
        OwnerDirectory directory,
        ProgramHost host,
        NodeRegistry registry,
        BiConsumer<NodeRecord, PeerMessage> send,
        Consumer<NodeRecord> reset) {}
