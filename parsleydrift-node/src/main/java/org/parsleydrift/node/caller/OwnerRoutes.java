package org.parsleydrift.node.caller;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.parsleydrift.node.host.ProgramHost;
import org.parsleydrift.node.membership.NodeRecord;
import org.parsleydrift.node.membership.NodeRegistry;
import org.parsleydrift.node.ownership.OwnerDirectory;
import org.parsleydrift.node.peer.PeerMessage;

/**
 * What an incarnation needs to reach the owners of programs.
 *
 * @param self name of this incarnation
 * @param directory finds the owner of a program
 * @param host serves the programs that this incarnation owns
 * @param registry records of all nodes
 * @param send sends a message to a node
 * @param reset closes the connection to a node, so that the next message opens a new one
 */
public record OwnerRoutes(
        String self,
        OwnerDirectory directory,
        ProgramHost host,
        NodeRegistry registry,
        BiConsumer<NodeRecord, PeerMessage> send,
        Consumer<NodeRecord> reset) {}
