package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.SharedObjects;
import org.parsleydrift.relay.HeaderNames;
import org.parsleydrift.wire.HttpClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** When the roles listen at which address, beside a platform that rejects all requests. */
public class RoleStartTest {
    private static final List<String> ADDRESSES = List.of("link", "metrics", "directory", "readiness", "callers");

    private final Map<String, Address> addresses = new HashMap<>();
    private ProcessContext context;

    private static final class UnreachablePlatform implements DeploymentPlugin {
        @Override
        public String name() {
            return "unreachable";
        }

        @Override
        public HeaderNames headerNames() {
            return HeaderNames.defaults();
        }

        @Override
        public SharedObjects sharedObjects(HttpClient client, String address) {
            return new RejectingObjects();
        }

        @Override
        public ObjectDecoder decoder() {
            return new ObjectDecoder() {
                @Override
                public RoutingManifest decodeManifest(byte[] content) {
                    throw new UnsupportedOperationException("no manifest is received");
                }

                @Override
                public Runner decodeRunner(String name, byte[] content) {
                    throw new UnsupportedOperationException("no runner is received");
                }
            };
        }

        @Override
        public String directoryPath() {
            return "/directory";
        }

        @Override
        public String readinessPath() {
            return "/ready";
        }

        @Override
        public String directoryResponse(List<String> nodes, int cacheSeconds) {
            return String.join(",", nodes);
        }
    }

    private RoleSettings settings(String role) throws IOException {
        for (String each : ADDRESSES) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                addresses.put(each, new Address("127.0.0.1", free.getLocalPort()));
            }
        }
        Path data = Files.createTempDirectory(Files.createDirectories(Path.of("target")), "role-start");
        return RoleSettingsReader.parse("settings", """
                {"role": "%s", "outside": "unreachable", "vm": "v1", "zone": "a", "link": "%s", "metrics": "%s",
                 "directory": "%s", "readiness": "%s", "callers": "%s", "platform": "127.0.0.1:1", "data_folder": "%s",
                 "first_start": true, "grace_s": 1}
                """.formatted(Stream.concat(
                        Stream.concat(Stream.of(role), ADDRESSES.stream().map(addresses::get)),
                        Stream.of(data.toAbsolutePath()))
                .toArray()));
    }

    private ProcessContext createContext(String role) throws IOException {
        context = new ProcessContext(settings(role), new UnreachablePlatform());
        return context;
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        context.threads.close();
    }

    /** Returns the addresses that accept connections. */
    private List<String> open() throws IOException {
        List<String> open = new ArrayList<>();
        for (String each : ADDRESSES) {
            try (Socket socket = new Socket()) {
                socket.connect(addresses.get(each).socket(), 1000);
                open.add(each);
            } catch (ConnectException refused) {
                // Nothing listens there.
            }
        }
        return open;
    }

    /** Guards against callers of a process whose parts do not exist yet, and which a signal would end without a drain. */
    @Test
    public void entryRoleAcceptsCallersLast() throws IOException {
        EntryRole role = new EntryRole(createContext("entry"));
        assertEquals(open(), List.of());
        role.start();
        assertEquals(open(), List.of("link", "metrics"));
        role.acceptRequests();
        assertEquals(open(), ADDRESSES);
    }

    /** Guards against frames that meet a store role whose parts do not exist yet, and close their link. */
    @Test
    public void storeRoleAcceptsFramesLast() throws IOException {
        StoreRole role = new StoreRole(createContext("store"));
        assertEquals(open(), List.of());
        role.start();
        assertFalse(open().contains("link"));
        role.acceptRequests();
        assertTrue(open().contains("link"));
    }
}
