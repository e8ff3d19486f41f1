package org.parsleydrift.node.manifest;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.parsleydrift.journal.Deadline;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.parsleydrift.kernel.codec.MessagePackCodec;
import org.parsleydrift.kernel.platform.ObjectStore;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;
import org.parsleydrift.kernel.platform.StoredObject;
import org.parsleydrift.manifest.Manifest;
import org.parsleydrift.manifest.ManifestParser;
import org.parsleydrift.manifest.ManifestVersion;

/**
 * Holds the current manifest. The platform stores it in one object, changed by conditional update; a node never reverts
 * to a lower generation (docs/design/manifest.md). Confined to the node's event loop.
 */
public final class ManifestManager implements CurrentManifest {
    /** Key of the manifest object on the platform. */
    public static final String KEY = "manifest/current";

    private static final Logger LOG = System.getLogger(ManifestManager.class.getName());
    private static final Manifest EMPTY = new Manifest(null, null, Map.of(), Map.of(), null, null);

    private final EventLoop loop;
    private final ObjectStore store;
    private final Duration timeout;
    private final Consumer<Manifest> onChange;
    private ManifestVersion version;
    private Manifest manifest = EMPTY;
    private ManifestVersion pendingPeerVersion;
    private boolean platformUnavailable;
    private boolean known;

    /**
     * Creates a manager without a manifest.
     *
     * @param loop the node's event loop
     * @param store object store of the platform
     * @param timeout timeout of a platform request
     * @param onChange called with each manifest that becomes current
     */
    public ManifestManager(EventLoop loop, ObjectStore store, Duration timeout, Consumer<Manifest> onChange) {
        this.loop = loop;
        this.store = store;
        this.timeout = timeout;
        this.onChange = onChange;
    }

    @Override
    public ManifestVersion version() {
        return version;
    }

    @Override
    public Manifest manifest() {
        return manifest;
    }

    /**
     * Returns the generation of the current manifest.
     *
     * @return the generation, or 0 if no manifest is known
     */
    public long generation() {
        return version == null ? 0 : version.generation();
    }

    /**
     * Returns whether this node knows the current manifest or that none exists. Until then it must not own programs: it
     * would end them, since their agents are missing from the empty manifest.
     *
     * @return true after the first answer from the platform, or a manifest from a peer if the platform is unavailable
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Handles a manifest sent by a peer. It is not activated before the first platform request has been answered or has
     * failed: the peer may have an older generation than this VM's previous process already used.
     *
     * @param found the peer's manifest
     * @param peer the peer's incarnation, for the log
     */
    public void offerFromPeer(ManifestVersion found, String peer) {
        if (known || platformUnavailable) {
            activateIfNewer(found, peer);
        } else if (pendingPeerVersion == null || pendingPeerVersion.generation() < found.generation()) {
            pendingPeerVersion = found;
        }
    }

    /** Records that the platform did not answer, and activates the newest manifest that a peer has sent. */
    public void markPlatformUnavailable() {
        platformUnavailable = true;
        if (pendingPeerVersion != null) {
            activateIfNewer(pendingPeerVersion, "peers");
        }
    }

    /**
     * Makes a manifest the current one if its generation is higher.
     *
     * @param found the manifest
     * @param source where it was obtained, for the log
     * @return true if it replaced the previous manifest
     * @throws StepException if the text is not a valid manifest
     */
    public boolean activateIfNewer(ManifestVersion found, String source) {
        if (found.generation() <= generation()) {
            return false;
        }
        manifest = ManifestParser.parse("manifest", found.text());
        version = found;
        known = true;
        LOG.log(
                Logger.Level.INFO,
                LogLine.of("manifest_in_force")
                        .with("generation", found.generation())
                        .with("deployment", manifest.deployment())
                        .with("source", source)
                        .toString());
        onChange.accept(manifest);
        return true;
    }

    /**
     * Reads the manifest from the platform and activates it if its generation is higher.
     *
     * @return completes with true if the current manifest changed; fails if the platform does not answer
     */
    public CompletableFuture<Boolean> refresh() {
        return withTimeout(store.read(KEY))
                .thenApplyAsync(
                        found -> {
                            known = true;
                            return found.map(object -> activateIfNewer(decode(object), "platform"))
                                    .orElse(false);
                        },
                        loop);
    }

    /**
     * Validates a manifest, stores it on the platform and activates it.
     *
     * @param text the manifest
     * @param expected the generation that it replaces, or -1 for any
     * @return the stored version; fails with a {@link StepException} if another generation was stored first
     * @throws StepException if the text is not a valid manifest
     */
    public CompletableFuture<ManifestVersion> submit(String text, long expected) {
        ManifestParser.parse("manifest", text);
        return withTimeout(store.read(KEY))
                .thenComposeAsync(
                        found -> {
                            long currentGeneration = found.map(
                                            object -> decode(object).generation())
                                    .orElse(0L);
                            if (expected >= 0 && expected != currentGeneration) {
                                return CompletableFuture.failedFuture(generationConflict(currentGeneration));
                            }
                            return write(found, new ManifestVersion(currentGeneration + 1, text));
                        },
                        loop);
    }

    private CompletableFuture<ManifestVersion> write(Optional<StoredObject> found, ManifestVersion next) {
        byte[] bytes = MessagePackCodec.encode(next);
        CompletableFuture<Long> written = found.isEmpty()
                ? store.create(KEY, bytes)
                : store.update(KEY, found.get().version(), bytes);
        return withTimeout(written)
                .handleAsync(
                        (done, failure) -> {
                            if (failure == null) {
                                activateIfNewer(next, "submit");
                                return CompletableFuture.completedFuture(next);
                            }
                            return verifyWrite(next, failure);
                        },
                        loop)
                .thenCompose(result -> result);
    }

    /**
     * Reads the manifest back after a conflict or a lost answer, since an update whose answer was lost may have taken
     * effect.
     */
    private CompletableFuture<ManifestVersion> verifyWrite(ManifestVersion submitted, Throwable failure) {
        if (StoreException.of(failure) == StoreFailure.REFUSED) {
            return CompletableFuture.failedFuture(failure);
        }
        return withTimeout(store.read(KEY))
                .thenComposeAsync(
                        found -> {
                            ManifestVersion stored =
                                    found.map(ManifestManager::decode).orElse(null);
                            if (submitted.equals(stored)) {
                                activateIfNewer(submitted, "submit");
                                return CompletableFuture.completedFuture(submitted);
                            }
                            return CompletableFuture.failedFuture(
                                    stored != null && stored.generation() >= submitted.generation()
                                            ? generationConflict(stored.generation())
                                            : failure);
                        },
                        loop);
    }

    private static StepException generationConflict(long currentGeneration) {
        return new StepException(
                Step.MANIFEST,
                "platform",
                "manifest rejected: generation " + currentGeneration + " is already stored; read it and submit again");
    }

    private static ManifestVersion decode(StoredObject object) {
        return MessagePackCodec.decode(object.value(), ManifestVersion.class, "platform");
    }

    private <T> CompletableFuture<T> withTimeout(CompletableFuture<T> answer) {
        return Deadline.withTimeout(loop, answer, timeout, KEY);
    }
}
