package org.parsleydrift.roles;

import java.lang.System.Logger;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import org.parsleydrift.conversation.ConversationReplica;
import org.parsleydrift.conversation.FileDurableLog;
import org.parsleydrift.conversation.ReplicaCalls;
import org.parsleydrift.conversation.StoreSetController;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.SystemClock;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.ObjectWatcher;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.VersionedTable;

/** Store role: keeps a replica of conversations on disk and maintains the store set. */
final class StoreRole implements Role {
    private static final Logger LOG = System.getLogger(StoreRole.class.getName());
    /** Maximum duration of a watch. Changes are rare, and members exchange the store set directly. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(8);

    private static final int DISK_ID_BYTES = 8;
    /**
     * Share of the heap that the records may use before new programs are rejected. The rest is for the programs that are
     * kept, which go on, and for frames under way.
     */
    private static final double MAX_RECORD_HEAP_SHARE = 0.6;

    private final ProcessContext context;
    private final FileDurableLog log;
    private final ConversationReplica replica;
    private final TcpFrameSender frames;
    private final ReplicaCalls calls;
    private final StoreSetController controller;

    StoreRole(ProcessContext context) {
        this.context = context;
        RoleSettings settings = context.settings;
        this.log = new FileDurableLog(settings.dataFolder().orElseThrow(), new SystemClock());
        long maxRecordBytes = (long) (Runtime.getRuntime().maxMemory() * MAX_RECORD_HEAP_SHARE);
        this.replica =
                new ConversationReplica(context.loop, log, settings.vm(), StoreRole::generateDiskId, maxRecordBytes);
        context.meters.gauge("parsleydrift.store.record.bytes", replica, ConversationReplica::recordBytes);
        this.frames = new TcpFrameSender(context, this::receive);
        this.calls =
                new ReplicaCalls(context.loop, frames, settings.link().toString(), context.random.nextLong(), replica);
        this.controller = new StoreSetController(
                context.loop,
                context.objects,
                replica,
                calls,
                settings.vm(),
                settings.link().toString(),
                settings.firstStart(),
                settings.toleratedLosses(),
                settings.storeMembers());
    }

    /** Generated for empty disks only: initializing the secure generator would delay each start. */
    private static String generateDiskId() {
        byte[] id = new byte[DISK_ID_BYTES];
        new SecureRandom().nextBytes(id);
        return HexFormat.of().formatHex(id);
    }

    @Override
    public void start() {
        context.serveMetrics();
    }

    @Override
    public void acceptRequests() {
        // Before the other parts, whose first requests other members answer on a connection of their own.
        frames.listen();
        context.loop.execute(() -> {
            replica.start(calls);
            ObjectWatcher sets = createWatcher(ObjectKind.STORE_SET, controller::onSetChanged);
            controller.setWatchListener(sets::setWatching);
            sets.start();
            createWatcher(ObjectKind.RETIREMENTS, controller::onRetirementsChanged)
                    .start();
            controller.start();
        });
    }

    @Override
    public void drain() {
        // Acknowledged records are on disk; nothing else has to be finished.
        LOG.log(Logger.Level.INFO, LogLine.of("store_stopping").toString());
    }

    @Override
    public void reload(RoleSettings settings) {
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("settings_reloaded").with("changed", false).toString());
    }

    private void receive(byte[] frame) {
        calls.receive(frame);
    }

    private ObjectWatcher createWatcher(ObjectKind kind, Consumer<List<SharedObject>> changeListener) {
        return context.createWatcher(kind, WATCH_WAIT, new VersionedTable(), new ObjectWatcher.Listener() {
            @Override
            public void onChanges(List<SharedObject> changes) {
                changeListener.accept(changes);
            }

            @Override
            public void onReachabilityChanged(boolean reachable) {
                // Logged by the watcher; the set does not change during an outage.
            }
        });
    }
}
