package org.parsleydrift.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.kernel.SystemClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Timers of a loop whose thread stands still, over real connections. */
public class NetworkLoopTest {
    private static final String BLOCK = "b";
    private static final Duration DELAY = Duration.ofMillis(100);
    private static final long TIMEOUT_SECONDS = 10;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private NetworkThreads threads;
    private NetworkLoop loop;
    private volatile Runnable onMessage;
    private Channel listener;
    private CountDownLatch blocked;
    private CountDownLatch resumption;

    /** Records what it receives, and blocks the network thread on request. */
    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
            String text = message.toString(UTF_8);
            if (text.equals(BLOCK)) {
                blocked.countDown();
                awaitLatch(resumption);
            } else {
                events.add(text);
                onMessage.run();
            }
        }
    }

    @BeforeMethod
    public void start() {
        threads = new NetworkThreads("loop-test", 1);
        loop = new NetworkLoop(threads, new SystemClock());
        events.clear();
        onMessage = () -> {};
        blocked = new CountDownLatch(1);
        resumption = new CountDownLatch(1);
        listener = threads.serverBootstrap()
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Receiver());
                        events.add("connected");
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        resumption.countDown();
        listener.close().syncUninterruptibly();
        threads.close();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private Socket connect() throws IOException, InterruptedException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) listener.localAddress()).getPort());
        assertEquals(nextEvent(), "connected");
        return socket;
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against timeouts that overtake the message that is waited for, as it arrived while the thread stood still. */
    @Test
    public void timerRunsAfterWhatArrivedBeforeItWasDueIsRead() throws Exception {
        try (Socket blocking = connect();
                Socket peer = connect()) {
            blocking.getOutputStream().write(BLOCK.getBytes(UTF_8));
            awaitLatch(blocked);
            loop.schedule(DELAY, () -> events.add("timer"));
            peer.getOutputStream().write("message".getBytes(UTF_8));
            Thread.sleep(2 * DELAY.toMillis());
            resumption.countDown();
            assertEquals(List.of(nextEvent(), nextEvent()), List.of("message", "timer"));
        }
    }

    /** Guards against timeouts that run although the message that arrived while the thread stood still cancels them. */
    @Test
    public void timerThatIsCancelledByWhatArrivedDoesNotRun() throws Exception {
        try (Socket blocking = connect();
                Socket peer = connect()) {
            blocking.getOutputStream().write(BLOCK.getBytes(UTF_8));
            awaitLatch(blocked);
            Cancellable timeout = loop.schedule(DELAY, () -> events.add("timer"));
            onMessage = timeout::cancel;
            peer.getOutputStream().write("message".getBytes(UTF_8));
            Thread.sleep(2 * DELAY.toMillis());
            resumption.countDown();
            loop.schedule(DELAY, () -> events.add("later timer"));
            assertEquals(List.of(nextEvent(), nextEvent()), List.of("message", "later timer"));
        }
    }
}
