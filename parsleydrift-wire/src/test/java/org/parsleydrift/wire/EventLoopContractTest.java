package org.parsleydrift.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.parsleydrift.kernel.DisruptorEventLoop;
import org.parsleydrift.kernel.EventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.kernel.SystemClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The contract of {@link EventLoop}, which the loop of the tests must keep in the same way as those of the processes. */
public class EventLoopContractTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final int TASKS = 200;

    private final NetworkThreads threads = new NetworkThreads("contract", 1);
    private final DisruptorEventLoop disruptorLoop = new DisruptorEventLoop("contract", new SystemClock());
    private final ManualScheduler time = new ManualScheduler();

    @DataProvider
    public Object[][] loops() {
        return new Object[][] {
            {"network", new NetworkLoop(threads, new SystemClock())},
            {"disruptor", disruptorLoop},
            {"manual", time.newLoop()}
        };
    }

    @DataProvider
    public Object[][] loopsWithThreads() {
        return Arrays.copyOf(loops(), 2);
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        threads.close();
        disruptorLoop.close();
    }

    /** Runs tasks of the loop until a latch is released; only the loop on virtual time needs to be driven. */
    private void await(CountDownLatch done) throws InterruptedException {
        for (int step = 0; step <= TASKS && done.getCount() > 0; step++) {
            try {
                time.advance(Duration.ofMillis(1));
            } catch (IllegalStateException | StackOverflowError thrownByTask) {
                assertEquals(thrownByTask.getMessage(), "by a task");
            }
        }
        assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the tasks have not run");
    }

    /** Guards against a task that runs within the call that submits it, before what the caller does next. */
    @Test(dataProvider = "loops")
    public void taskDoesNotRunWithinTheCall(String name, EventLoop loop) throws InterruptedException {
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            loop.execute(() -> {
                order.add("submitted");
                done.countDown();
            });
            order.add("submitter");
        });
        await(done);
        assertEquals(order, List.of("submitter", "submitted"));
    }

    /** Guards against tasks that overtake each other, whether the loop itself or another thread submits them. */
    @Test(dataProvider = "loops")
    public void tasksRunInOrderOfSubmission(String name, EventLoop loop) throws InterruptedException {
        List<Integer> outside = Collections.synchronizedList(new ArrayList<>());
        List<Integer> inside = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(2 * TASKS);
        loop.execute(() -> IntStream.range(0, TASKS)
                .forEach(each -> loop.execute(() -> {
                    inside.add(each);
                    done.countDown();
                })));
        IntStream.range(0, TASKS)
                .forEach(each -> loop.execute(() -> {
                    outside.add(each);
                    done.countDown();
                }));
        await(done);
        List<Integer> expected = IntStream.range(0, TASKS).boxed().toList();
        assertEquals(inside, expected);
        assertEquals(outside, expected);
    }

    /** Guards against a task or timer that keeps those after it from running by an exception. */
    @Test(dataProvider = "loops")
    public void taskThatThrowsDoesNotAffectLaterOnes(String name, EventLoop loop) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(2);
        loop.execute(() -> {
            throw new IllegalStateException("by a task");
        });
        loop.schedule(Duration.ZERO, () -> {
            throw new IllegalStateException("by a task");
        });
        loop.execute(done::countDown);
        loop.schedule(Duration.ofMillis(1), done::countDown);
        await(done);
    }

    /** Guards against a loop that stands still, with all requests of its node, after an error of one task or timer. */
    @Test(dataProvider = "loops")
    public void taskThatFailsWithAnErrorDoesNotAffectLaterOnes(String name, EventLoop loop)
            throws InterruptedException {
        CountDownLatch done = new CountDownLatch(2);
        loop.execute(() -> {
            throw new StackOverflowError("by a task");
        });
        loop.schedule(Duration.ZERO, () -> {
            throw new StackOverflowError("by a task");
        });
        loop.execute(done::countDown);
        loop.schedule(Duration.ofMillis(1), done::countDown);
        await(done);
    }

    /** Guards against a periodic task that never runs again after it has thrown once, such as a node's status messages. */
    @Test(dataProvider = "loops")
    public void periodicTaskThatThrowsRunsAgain(String name, EventLoop loop) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(3);
        loop.scheduleWithFixedDelay(Duration.ofMillis(1), () -> {
            boolean fails = done.getCount() > 1;
            done.countDown();
            if (fails) {
                throw new IllegalStateException("by a task");
            }
        });
        await(done);
    }

    /** Guards against a timer without a delay that runs within the call that schedules it. */
    @Test(dataProvider = "loops")
    public void timerWithoutDelayDoesNotRunWithinTheCall(String name, EventLoop loop) throws InterruptedException {
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            loop.schedule(Duration.ZERO, () -> {
                order.add("timer");
                done.countDown();
            });
            order.add("scheduler");
        });
        await(done);
        assertEquals(order, List.of("scheduler", "timer"));
    }

    /** Guards against timeouts that overtake the response that is waited for, as the thread of the loop stood still. */
    @Test(dataProvider = "loopsWithThreads")
    public void timerRunsAfterTasksSubmittedBeforeItWasDue(String name, EventLoop loop) throws InterruptedException {
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resumption = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(2);
        loop.execute(() -> {
            blocked.countDown();
            awaitLatch(resumption);
        });
        assertTrue(blocked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        loop.schedule(Duration.ofMillis(50), () -> {
            order.add("timer");
            done.countDown();
        });
        loop.execute(() -> {
            order.add("task");
            done.countDown();
        });
        Thread.sleep(100);
        resumption.countDown();
        assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the tasks have not run");
        assertEquals(order, List.of("task", "timer"));
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
