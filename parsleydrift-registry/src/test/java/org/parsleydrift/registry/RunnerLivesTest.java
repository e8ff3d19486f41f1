package org.parsleydrift.registry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.parsleydrift.kernel.ManualScheduler;
import org.parsleydrift.kernel.Step;
import org.parsleydrift.kernel.StepException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which life of a runner the registry names. Contents here are "BORN ADDRESS", or nonsense. */
public class RunnerLivesTest {
    private Registry registry;
    private long revision;

    @BeforeMethod
    public void start() {
        revision = 0;
        registry = new Registry(new ManualScheduler().newLoop(), new ObjectDecoder() {
            @Override
            public RoutingManifest decodeManifest(byte[] content) {
                throw new UnsupportedOperationException();
            }

            @Override
            public Runner decodeRunner(String name, byte[] content) {
                String text = new String(content, UTF_8);
                int space = text.indexOf(' ');
                if (space < 0) {
                    throw new StepException(Step.PARSE, name, "nonsense");
                }
                long born = Long.parseLong(text.substring(0, space));
                return new Runner(name, born, "s", text.substring(space + 1), "z", 4, false);
            }
        });
    }

    private void entry(String name, String content) {
        registry.applyRunnerChanges(List.of(new SharedObject(name, ++revision, false, content.getBytes(UTF_8))));
    }

    private List<String> lives() {
        return registry.runners("s").stream().map(Runner::incarnation).sorted().toList();
    }

    /** A restart under the same id is another runner: what is to be sent to the former life must not go to it. */
    @Test
    public void aRestartUnderTheSameIdIsAnotherLife() {
        entry("r", "100 10.0.0.1:1");
        Runner former = registry.runners("s").getFirst();
        entry("r", "200 10.0.0.1:1");
        assertEquals(lives(), List.of("r@200"));
        assertFalse(registry.isUsable(former));
        assertTrue(registry.isUsable(registry.runners("s").getFirst()));
    }

    /**
     * Symptom: a restarted runner gets no requests, or they go to its former address. Events: the runner restarts under its
     * id; then an entry that its former life had sent arrives. Cause: entries were taken in by revision alone.
     */
    @Test
    public void newsOfAFormerLifeNeverOverrideTheNewOne() {
        entry("r", "200 10.0.0.2:1");
        entry("r", "100 10.0.0.1:1");
        assertEquals(lives(), List.of("r@200"));
        registry.applyRunnerChanges(List.of(new SharedObject("r", ++revision, true, new byte[0])));
        entry("r", "100 10.0.0.1:1");
        assertEquals(lives(), List.of());
    }

    /**
     * Symptom: requests go on to a runner whose entry another program has overwritten. Cause: an entry that could not be
     * read was logged and the former one kept.
     */
    @Test
    public void anEntryThatTurnsUnreadableNamesNoRunner() {
        entry("r", "100 10.0.0.1:1");
        entry("other", "100 10.0.0.2:1");
        entry("r", "nonsense");
        assertEquals(lives(), List.of("other@100"));
        entry("r", "100 10.0.0.1:1");
        assertEquals(lives(), List.of("other@100", "r@100"));
    }
}
