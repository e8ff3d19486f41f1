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
 * Keeps the manifest in force: one object on the platform, changed by conditional update; a node never goes back to a
 * lower generation (docs/design/manifest.md). Confined to the node's loop.
 */
public final class ManifestKeeper implements ManifestInForce {
    /** The object's name on the platform. */
    public static final String KEY = "manifest/current";

    private static final Logger LOG = System.getLogger(ManifestKeeper.class.getName());
    private static final Manifest EMPTY = new Manifest(null, null, Map.of(), Map.of(), null, null);

    private final EventLoop loop;
    private final ObjectStore store;
    private final Duration timeout;
    private final Consumer<Manifest> onChange;
    private ManifestVersion version;
    private Manifest manifest = EMPTY;
    private ManifestVersion noted;
    private boolean platformSilent;
    private boolean known;

    /**
     * Makes a keeper with no manifest.
     *
     * @param loop the node's loop
     * @param store the platform
     * @param timeout how long to wait for the platform
     * @param onChange told each manifest that comes into force
     */
    public ManifestKeeper(EventLoop loop, ObjectStore store, Duration timeout, Consumer<Manifest> onChange) {
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
     * The generation in force.
     *
     * @return the generation, 0 before the first
     */
    public long generation() {
        return version == null ? 0 : version.generation();
    }

    /**
     * Whether this node knows which manifest is in force, or that there is none. Until then it must own no program: it
     * would end those that come to it, since it knows none of their agents.
     *
     * @return true after the first answer of the platform or of a peer
     */
    public boolean known() {
        return known;
    }

    /**
     * Takes a manifest that a peer tells. Until the platform has answered or failed to, it is only noted: a peer may lag
     * behind what this VM's former process had in force already, and the platform does not.
     *
     * @param found the manifest
     * @param peer the peer
     */
    public void offerFromPeer(ManifestVersion found, String peer) {
        if (known || platformSilent) {
            offer(found, peer);
        } else if (noted == null || noted.generation() < found.generation()) {
            noted = found;
        }
    }

    /** The platform does not answer: what peers tell is the best there is. */
    public void platformSilent() {
        platformSilent = true;
        if (noted != null) {
            offer(noted, "peers");
        }
    }

    /**
     * Puts a manifest into force unless it is no newer than the present one.
     *
     * @param found the manifest
     * @param source where it came from, for the log
     * @return true if it is in force now and was not before
     */
    public boolean offer(ManifestVersion found, String source) {
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
     * Reads the platform's manifest and puts it into force if it is newer.
     *
     * @return completes with true if a newer one came into force
     */
    public CompletableFuture<Boolean> refresh() {
        return bounded(store.read(KEY))
                .thenApplyAsync(
                        found -> {
                            known = true;
                            return found.map(object -> offer(decode(object), "platform"))
                                    .orElse(false);
                        },
                        loop);
    }

    /**
     * Accepts a manifest, whole or not at all.
     *
     * @param text the manifest
     * @param expected the generation that the operator saw, or -1 for any
     * @return the version in force then; fails with a {@link StepException} that says what stands against it
     */
    public CompletableFuture<ManifestVersion> submit(String text, long expected) {
        ManifestParser.parse("manifest", text);
        return bounded(store.read(KEY))
                .thenComposeAsync(
                        found -> {
                            long present = found.map(object -> decode(object).generation())
                                    .orElse(0L);
                            if (expected >= 0 && expected != present) {
                                return CompletableFuture.failedFuture(raced(present));
                            }
                            return write(found, new ManifestVersion(present + 1, text));
                        },
                        loop);
    }

    private CompletableFuture<ManifestVersion> write(Optional<StoredObject> found, ManifestVersion next) {
        byte[] bytes = MessagePackCodec.encode(next);
        CompletableFuture<Long> written = found.isEmpty()
                ? store.create(KEY, bytes)
                : store.update(KEY, found.get().version(), bytes);
        return bounded(written)
                .handleAsync(
                        (done, failure) -> {
                            if (failure == null) {
                                offer(next, "submit");
                                return CompletableFuture.completedFuture(next);
                            }
                            return confirm(next, failure);
                        },
                        loop)
                .thenCompose(result -> result);
    }

    /**
     * After a conflict or a lost answer, reads what is there. The update may have taken effect although its answer was
     * lost: telling the operator that it failed would then be wrong.
     */
    private CompletableFuture<ManifestVersion> confirm(ManifestVersion mine, Throwable failure) {
        if (StoreException.of(failure) == StoreFailure.REFUSED) {
            return CompletableFuture.failedFuture(failure);
        }
        return bounded(store.read(KEY))
                .thenComposeAsync(
                        found -> {
                            ManifestVersion there =
                                    found.map(ManifestKeeper::decode).orElse(null);
                            if (mine.equals(there)) {
                                offer(mine, "submit");
                                return CompletableFuture.completedFuture(mine);
                            }
                            return CompletableFuture.failedFuture(
                                    there != null && there.generation() >= mine.generation()
                                            ? raced(there.generation())
                                            : failure);
                        },
                        loop);
    }

    private static StepException raced(long present) {
        return new StepException(
                Step.MANIFEST,
                "platform",
                "not accepted: generation " + present + " came first; read it and submit again");
    }

    private static ManifestVersion decode(StoredObject object) {
        return MessagePackCodec.decode(object.value(), ManifestVersion.class, "platform");
    }

    private <T> CompletableFuture<T> bounded(CompletableFuture<T> answer) {
        return Deadline.withTimeout(loop, answer, timeout, KEY);
    }
}
