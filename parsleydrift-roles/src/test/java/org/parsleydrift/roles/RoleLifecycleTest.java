package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The order of start and end, when signals arrive at any moment of the start. */
public class RoleLifecycleTest {
    private static final long TIMEOUT_SECONDS = 10;

    private final List<String> calls = new CopyOnWriteArrayList<>();
    private RoleLifecycle lifecycle;

    @BeforeMethod
    public void create() {
        calls.clear();
        lifecycle = new RoleLifecycle(role -> calls.add("reload"));
    }

    /** Role that records what it is asked for, and runs a task when it begins to accept requests. */
    private Role role(Runnable whenAccepting) {
        return new Role() {
            @Override
            public void start() {
                calls.add("start");
            }

            @Override
            public void acceptRequests() {
                whenAccepting.run();
                calls.add("accept");
            }

            @Override
            public void drain() {
                calls.add("drain");
            }

            @Override
            public void reload(RoleSettings settings) {
                throw new UnsupportedOperationException("the reloader is a recorder");
            }
        };
    }

    /** Guards against a process that begins to accept requests, which it will not answer, after SIGTERM. */
    @Test
    public void processThatIsEndingAcceptsNoRequests() {
        lifecycle.end();
        assertFalse(lifecycle.start(role(() -> {})));
        assertEquals(calls, List.of("start"));
    }

    /** Guards against a process that ends without a drain although it has begun to accept requests. */
    @Test
    public void signalWhileTheRoleBeginsToAcceptRequestsDrainsIt() throws Exception {
        CountDownLatch listening = new CountDownLatch(1);
        CountDownLatch signalled = new CountDownLatch(1);
        CompletableFuture<Void> end = CompletableFuture.runAsync(() -> {
            await(listening);
            signalled.countDown();
            lifecycle.end();
        });
        assertTrue(lifecycle.start(role(() -> {
            listening.countDown();
            await(signalled);
        })));
        end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(calls, List.of("start", "accept", "drain"));
    }

    /** Guards against a process that waits for the drain of a role that could not be started. */
    @Test
    public void roleThatCouldNotStartIsNotDrained() {
        assertThrows(
                IllegalStateException.class,
                () -> lifecycle.start(role(() -> {
                    throw new IllegalStateException("address taken");
                })));
        lifecycle.end();
        assertEquals(calls, List.of("start"));
    }

    /** Guards against settings that are lost because their signal arrives before the role is built. */
    @Test
    public void reloadBeforeTheStartIsAppliedAfterIt() {
        lifecycle.reload();
        assertEquals(calls, List.of());
        lifecycle.start(role(() -> {}));
        lifecycle.end();
        lifecycle.reload();
        assertEquals(calls, List.of("start", "accept", "reload", "drain", "reload"));
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
