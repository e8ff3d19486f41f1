package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.parsleydrift.conversation.FrameSender;
import org.parsleydrift.kernel.ManualEventLoop;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.registry.ObjectChanges;
import org.parsleydrift.registry.ObjectDecoder;
import org.parsleydrift.registry.ObjectKind;
import org.parsleydrift.registry.Registry;
import org.parsleydrift.registry.RoutingManifest;
import org.parsleydrift.registry.Runner;
import org.parsleydrift.registry.SharedObject;
import org.parsleydrift.registry.VersionedTable;
import org.parsleydrift.relay.Dispatcher;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What entry nodes learn from each other. */
public class NodeMeshTest {
    private ManualScheduler time;
    private Map<String, Member> members;

    private final class Member {
        private final NodeIdentity identity;
        private final VersionedTable runners = new VersionedTable();
        private final List<SharedObject> learned = new ArrayList<>();
        private final ManualEventLoop loop = time.newLoop();
        private boolean ready = true;
        private boolean reachesStores = true;
        private boolean cut;
        private NodeMesh mesh;

        private Member(String name) {
            identity = new NodeIdentity(name, "zone", name + ":80", name);
            Registry registry = new Registry(loop, new ObjectDecoder() {
                @Override
                public RoutingManifest manifest(byte[] content) {
                    throw new UnsupportedOperationException();
                }

                @Override
                public Runner runner(String runner, byte[] content) {
                    throw new UnsupportedOperationException();
                }
            });
            Dispatcher dispatcher = new Dispatcher(registry, new Random(1), "z", time::nanos);
            mesh = new NodeMesh(
                    loop,
                    sender(),
                    identity,
                    dispatcher,
                    () -> ready,
                    () -> reachesStores,
                    new Random(2),
                    Map.of(ObjectKind.RUNNERS, followed()));
            mesh.start();
        }

        private FrameSender sender() {
            return new FrameSender() {
                @Override
                public void send(String address, byte[] frame) {
                    Member to = members.get(address);
                    if (to != null && !cut && !to.cut) {
                        to.loop.schedule(Duration.ofMillis(1), () -> to.mesh.receive(frame));
                    }
                }

                @Override
                public void reset(String address) {}
            };
        }

        private NodeMesh.FollowedKind followed() {
            return new NodeMesh.FollowedKind() {
                @Override
                public long asOf() {
                    return runners.asOf();
                }

                @Override
                public long newestChange() {
                    return runners.newestChange();
                }

                @Override
                public List<SharedObject> present() {
                    return runners.present();
                }

                @Override
                public void learn(ObjectChanges list, long newestChange) {
                    learned.addAll(runners.replace(list));
                    runners.knows(newestChange);
                }
            };
        }
    }

    @BeforeMethod
    public void begin() {
        time = new ManualScheduler();
        members = new HashMap<>();
        List.of("a", "b").forEach(name -> members.put(name, new Member(name)));
        members.get("a").mesh.known(members.get("b").identity);
        time.advance(Duration.ofSeconds(1));
    }

    /**
     * Symptom: a leaving runner gets requests from one node. Events: the platform turns that node away and serves its
     * peers. Cause: it waits for the platform alone.
     */
    @Test
    public void aNodeThatThePlatformTurnsAwayLearnsFromItsPeer() {
        Member a = members.get("a");
        Member b = members.get("b");
        SharedObject runner = new SharedObject("r1", 5, false, new byte[] {1});
        a.runners.replace(new ObjectChanges(List.of(runner), 5));
        b.runners.replace(new ObjectChanges(List.of(runner), 5));
        a.runners.apply(new ObjectChanges(List.of(new SharedObject("r1", 5, true, new byte[0])), 9));
        time.advance(Duration.ofMillis(900));
        assertEquals(b.runners.present(), List.of());
        assertEquals(b.learned.size(), 1);
    }

    /** Changes of other kinds move the platform's counter; that alone is no news. */
    @Test
    public void aHigherCounterAloneIsNoReasonToAsk() {
        Member a = members.get("a");
        Member b = members.get("b");
        SharedObject runner = new SharedObject("r1", 5, false, new byte[] {1});
        a.runners.replace(new ObjectChanges(List.of(runner), 5));
        b.runners.replace(new ObjectChanges(List.of(runner), 5));
        a.runners.apply(new ObjectChanges(List.of(), 50));
        time.advance(Duration.ofSeconds(2));
        assertEquals(b.runners.asOf(), 5);
    }

    /** Callers are told of nodes that are ready and heard of, and of no others. */
    @Test
    public void silentAndStoppingNodesAreNotNamed() {
        Member a = members.get("a");
        Member b = members.get("b");
        assertEquals(a.mesh.readyAddresses(), List.of("a:80", "b:80"));
        b.ready = false;
        b.mesh.tellNow();
        time.advance(Duration.ofMillis(5));
        assertEquals(a.mesh.readyAddresses(), List.of("a:80"));
        b.ready = true;
        time.advance(Duration.ofSeconds(1));
        assertEquals(a.mesh.readyAddresses(), List.of("a:80", "b:80"));
        b.cut = true;
        time.advance(Duration.ofMillis(1300));
        assertEquals(a.mesh.readyAddresses(), List.of("a:80"));
    }

    /** A node that is cut off from the store VMs finds a peer that is not. */
    @Test
    public void namesAPeerThatReachesTheStores() {
        Member a = members.get("a");
        assertEquals(a.mesh.peerThatReachesStores(), Optional.of("b"));
        members.get("b").reachesStores = false;
        time.advance(Duration.ofMillis(500));
        assertEquals(a.mesh.peerThatReachesStores(), Optional.empty());
    }
}
