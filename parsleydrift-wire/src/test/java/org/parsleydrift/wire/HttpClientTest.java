package org.parsleydrift.wire;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses of servers that are broken, preceded by others or followed by more. */
public class HttpClientTest {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final AtomicInteger requests = new AtomicInteger();
    private CountDownLatch disconnected;
    private NetworkThreads threads;
    private HttpClient client;
    private ServerSocket server;

    @BeforeMethod
    public void start() throws IOException {
        requests.set(0);
        disconnected = new CountDownLatch(1);
        threads = new NetworkThreads("http-client-test", 1);
        client = new HttpClient(threads);
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        server.close();
        threads.close();
    }

    /** Replies to each request, given its number from 1 on. */
    private void serve(IntFunction<String> script) {
        Thread acceptor = new Thread(() -> accept(script), "server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void accept(IntFunction<String> script) {
        CountDownLatch ended = disconnected;
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket, script, ended), "connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The test has ended.
            return;
        }
    }

    private void serve(Socket socket, IntFunction<String> script, CountDownLatch ended) {
        try (socket) {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                head.append((char) next);
                if (head.toString().endsWith("\r\n\r\n")) {
                    head.setLength(0);
                    socket.getOutputStream()
                            .write(script.apply(requests.incrementAndGet()).getBytes(ISO_8859_1));
                }
            }
            ended.countDown();
        } catch (IOException closed) {
            ended.countDown();
        }
    }

    private HttpClientResponse get() {
        String address = "127.0.0.1:" + server.getLocalPort();
        return client.send(HttpRequestSpec.of(address, "GET", "/", Duration.ofMillis(TIMEOUT_MILLIS)))
                .join();
    }

    private static String respond(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String text(HttpClientResponse response) {
        return response.status() + " " + new String(response.body(), ISO_8859_1);
    }

    /** Guards against a part of a response that is taken for the whole one, or for a response at all. */
    @Test(dataProvider = "brokenResponses")
    public void brokenResponseFails(String reply) {
        serve(number -> reply);
        assertThrows(CompletionException.class, this::get);
    }

    /** Responses that can't be decoded from some point on. */
    @DataProvider
    public static Object[][] brokenResponses() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\nhalf\r\n0\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\nhalf"},
            {"garbage\r\n\r\n"},
        };
    }

    /** Guards against an interim response that is taken for the final one. */
    @Test
    public void interimResponseIsSkipped() {
        serve(number -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + respond("body " + number));
        HttpClientResponse response = get();
        assertEquals(text(response), "200 body 1");
        assertEquals(response.headers().get("link"), null);
        assertEquals(text(get()), "200 body 2");
    }

    /** Guards against bytes on an idle connection that are taken for the response to the next request. */
    @Test(dataProvider = "bytesAfterResponse")
    public void bytesAfterResponseCloseTheConnection(String bytes) throws InterruptedException {
        serve(number -> respond("body " + number) + bytes);
        assertEquals(text(get()), "200 body 1");
        assertTrue(disconnected.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(text(get()), "200 body 2");
    }

    /** A second response, and a part of one. */
    @DataProvider
    public static Object[][] bytesAfterResponse() {
        return new Object[][] {{respond("late")}, {"HTTP/1.1 200 OK\r\nDate: Mon"}};
    }

    /** Guards against calls that fail although their response arrived while the network thread stood still. */
    @Test
    public void responseThatArrivesDuringAStandstillIsReturned() throws Exception {
        CountDownLatch standing = new CountDownLatch(1);
        serve(number -> {
            awaitLatch(standing);
            return respond("body");
        });
        Duration idleTimeout = Duration.ofSeconds(1);
        String address = "127.0.0.1:" + server.getLocalPort();
        var response = client.send(HttpRequestSpec.of(address, "GET", "/", idleTimeout));
        while (requests.get() == 0) {
            Thread.onSpinWait();
        }
        // Blocks the thread where it reads, so that the check of the timeout becomes due after its last read.
        Channel listener = threads.serverBootstrap()
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelActive(ChannelHandlerContext context) {
                        standing.countDown();
                        LockSupport.parkNanos(2 * idleTimeout.toNanos());
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
        int port = ((InetSocketAddress) listener.localAddress()).getPort();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            assertEquals(text(response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)), "200 body");
            assertTrue(socket.isConnected());
        }
        listener.close();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
