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

/** The store role: a replica on the disk and the upkeep of the set. */
final class StoreRole implements Role {
    private static final Logger LOG = System.getLogger(StoreRole.class.getName());
    /** Longest wait of a watch: rare changes, and members tell each other of the set directly. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(8);

    private static final int DISK_ID_BYTES = 8;

    private final ProcessParts parts;
    private final FileDurableLog log;
    private final ConversationReplica replica;
    private final ReplicaCalls calls;
    private final StoreSetController keeper;

    StoreRole(ProcessParts parts) {
        this.parts = parts;
        RoleSettings settings = parts.settings;
        this.log = new FileDurableLog(settings.dataFolder().orElseThrow(), new SystemClock());
        this.replica = new ConversationReplica(parts.loop, log, settings.vm(), StoreRole::freshDiskId);
        LinkFrames frames = new LinkFrames(parts, this::receive);
        this.calls = new ReplicaCalls(parts.loop, frames, settings.link().toString(), replica);
        this.keeper = new StoreSetController(
                parts.loop,
                parts.objects,
                replica,
                calls,
                settings.vm(),
                settings.link().toString(),
                settings.firstStart(),
                settings.toleratedLosses(),
                settings.storeMembers());
    }

    /** Made only for an empty disk: setting up the secure generator would lengthen each start. */
    private static String freshDiskId() {
        byte[] id = new byte[DISK_ID_BYTES];
        new SecureRandom().nextBytes(id);
        return HexFormat.of().formatHex(id);
    }

    @Override
    public void start() {
        parts.loop.execute(() -> {
            replica.start(calls);
            ObjectWatcher sets = follower(ObjectKind.STORE_SET, keeper::onSetChanged);
            keeper.setWatchListener(sets::follow);
            sets.start();
            follower(ObjectKind.RETIREMENTS, keeper::onRetirementsChanged).start();
            keeper.start();
        });
    }

    @Override
    public void drain() {
        // What was acknowledged is on disk; nothing else here is owed to anybody.
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

    private ObjectWatcher follower(ObjectKind kind, Consumer<List<SharedObject>> news) {
        return parts.follow(kind, WATCH_WAIT, new VersionedTable(), new ObjectWatcher.Listener() {
            @Override
            public void onChanges(List<SharedObject> changed) {
                news.accept(changed);
            }

            @Override
            public void onReachabilityChanged(boolean reached) {
                // The follower has logged it; the set stays as it is until the platform is back.
            }
        });
    }
}
