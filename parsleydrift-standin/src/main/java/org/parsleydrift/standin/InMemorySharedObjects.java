package org.parsleydrift.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.platform.StoreException;
import org.parsleydrift.kernel.platform.StoreFailure;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.RetirementProgress;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.SharedObjects;

/** Shared objects in memory, on virtual time: revisions, conditions, watches with a history, and faults to set. */
public final class InMemorySharedObjects implements SharedObjects {
    /** Past the time that a watch was to wait, a client without an answer gives it up after this long. */
    private static final Duration WATCH_SLACK = Duration.ofMillis(700);
    /** A client without an answer gives any other call up after this long. */
    private static final Duration CALL_SILENCE = Duration.ofMillis(1500);

    private final EventLoop loop;
    private final Duration latency;
    private final Map<ObjectKind, Map<String, SharedObject>> objects = new HashMap<>();
    private final Map<ObjectKind, List<SharedObject>> history = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<String, RetirementProgress> retirements = new HashMap<>();
    private long revision = 1;
    private long historyFrom;
    private boolean down;
    private boolean silent;
    private long checks;
    private long calls;

    private record Watch(ObjectKind kind, long after, CompletableFuture<ObjectChanges> answer) {}

    /**
     * Makes an empty store.
     *
     * @param loop gives answers
     * @param latency time that an answer takes
     */
    public InMemorySharedObjects(EventLoop loop, Duration latency) {
        this.loop = loop;
        this.latency = latency;
    }

    /**
     * Refuses all calls, or serves again.
     *
     * @param refuses whether to refuse
     */
    public void down(boolean refuses) {
        down = refuses;
    }

    /**
     * Answers nothing, neither what is asked nor what waits, or answers again what is asked from then on.
     *
     * @param answersNothing whether to be silent
     */
    public void silent(boolean answersNothing) {
        silent = answersNothing;
        loseWatches();
    }

    /** Never answers the watches that wait now, as when the connections that they came on have gone silent. */
    public void loseWatches() {
        watches.clear();
    }

    /**
     * How often changes were asked for without waiting, answered or not.
     *
     * @return the number of such calls
     */
    public long checks() {
        return checks;
    }

    /**
     * How often anything was asked for or written, answered or not.
     *
     * @return the number of calls
     */
    public long calls() {
        return calls;
    }

    /**
     * The revision of the newest change of any kind.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    /** Forgets the history: watches that are older than now are told that it is gone. */
    public void forgetHistory() {
        historyFrom = revision;
        history.clear();
    }

    /**
     * What was reported of a retirement.
     *
     * @param vm the VM
     * @return the progress, or null
     */
    public RetirementProgress retirement(String vm) {
        return retirements.get(vm);
    }

    /**
     * Writes without a condition, as operators and runners do.
     *
     * @param kind the kind
     * @param name the name
     * @param content the content
     */
    public void write(ObjectKind kind, String name, byte[] content) {
        change(kind, new SharedObject(name, ++revision, false, content));
    }

    /**
     * Removes an object, as runners that leave do.
     *
     * @param kind the kind
     * @param name the name
     */
    public void delete(ObjectKind kind, String name) {
        change(kind, new SharedObject(name, ++revision, true, new byte[0]));
    }

    @Override
    public CompletableFuture<ObjectChanges> list(ObjectKind kind) {
        return later(() -> new ObjectChanges(List.copyOf(of(kind).values()), revision));
    }

    @Override
    public CompletableFuture<ObjectChanges> watch(ObjectKind kind, long after, Duration wait) {
        calls++;
        CompletableFuture<ObjectChanges> answer = new CompletableFuture<>();
        giveUpAfter(wait.plus(WATCH_SLACK), answer);
        if (silent) {
            return answer;
        }
        answered(() -> keptChangesAfter(kind, after)).whenComplete((found, failure) -> {
            if (failure != null) {
                answer.completeExceptionally(StoreException.unwrap(failure));
            } else if (!found.objects().isEmpty()) {
                answer.complete(found);
            } else {
                Watch watch = new Watch(kind, after, answer);
                watches.add(watch);
                loop.schedule(wait, () -> waitIsOver(watch));
            }
        });
        return answer;
    }

    @Override
    public CompletableFuture<ObjectChanges> changes(ObjectKind kind, long after) {
        checks++;
        if (silent) {
            calls++;
            CompletableFuture<ObjectChanges> answer = new CompletableFuture<>();
            giveUpAfter(WATCH_SLACK, answer);
            return answer;
        }
        return later(() -> keptChangesAfter(kind, after));
    }

    @Override
    public CompletableFuture<SharedObject> put(ObjectKind kind, String name, OptionalLong expected, byte[] content) {
        return later(() -> {
            SharedObject known = of(kind).get(name);
            boolean holds =
                    expected.isEmpty() ? known == null : known != null && known.revision() == expected.getAsLong();
            if (!holds) {
                throw new StoreException(StoreFailure.CONFLICT, name);
            }
            SharedObject written = new SharedObject(name, ++revision, false, content);
            change(kind, written);
            return written;
        });
    }

    @Override
    public CompletableFuture<Void> remove(ObjectKind kind, String name) {
        return later(() -> {
            if (of(kind).containsKey(name)) {
                delete(kind, name);
            }
            return null;
        });
    }

    @Override
    public CompletableFuture<Void> reportRetirement(String vm, RetirementProgress progress) {
        return later(() -> {
            retirements.put(vm, progress);
            return null;
        });
    }

    private void waitIsOver(Watch watch) {
        if (watches.remove(watch)) {
            watch.answer().complete(new ObjectChanges(List.of(), revision));
        }
    }

    private void giveUpAfter(Duration wait, CompletableFuture<?> answer) {
        loop.schedule(wait, () -> answer.completeExceptionally(new StoreException(StoreFailure.UNKNOWN, "no answer")));
    }

    private interface Call<T> {
        T make();
    }

    private <T> CompletableFuture<T> later(Call<T> call) {
        calls++;
        return answered(call);
    }

    private <T> CompletableFuture<T> answered(Call<T> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (silent) {
            giveUpAfter(CALL_SILENCE, answer);
            return answer;
        }
        loop.schedule(latency, () -> {
            try {
                if (down) {
                    throw new StoreException(StoreFailure.REFUSED, "store");
                }
                answer.complete(call.make());
            } catch (StoreException refused) {
                answer.completeExceptionally(refused);
            }
        });
        return answer;
    }

    private ObjectChanges keptChangesAfter(ObjectKind kind, long after) {
        if (after < historyFrom) {
            throw new StoreException(StoreFailure.ABSENT, kind.name());
        }
        return changesAfter(kind, after);
    }

    private ObjectChanges changesAfter(ObjectKind kind, long after) {
        List<SharedObject> changes = history.getOrDefault(kind, List.of()).stream()
                .filter(each -> each.revision() > after)
                .toList();
        return new ObjectChanges(changes, revision);
    }

    private void change(ObjectKind kind, SharedObject changed) {
        if (changed.deleted()) {
            of(kind).remove(changed.name());
        } else {
            of(kind).put(changed.name(), changed);
        }
        history.computeIfAbsent(kind, any -> new ArrayList<>()).add(changed);
        List<Watch> due = watches.stream().filter(each -> each.kind() == kind).toList();
        watches.removeAll(due);
        due.forEach(each -> loop.execute(() -> each.answer().complete(changesAfter(kind, each.after()))));
    }

    private Map<String, SharedObject> of(ObjectKind kind) {
        return objects.computeIfAbsent(kind, any -> new TreeMap<>());
    }
}
