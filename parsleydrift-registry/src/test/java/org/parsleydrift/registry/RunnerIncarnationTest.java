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

/** Which incarnation of a runner the registry exposes. Test entries hold "START ADDRESS", or are invalid. */
public class RunnerIncarnationTest {
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
                long startMillis = Long.parseLong(text.substring(0, space));
                return new Runner(name, startMillis, "s", text.substring(space + 1), "z", 4, false);
            }
        });
    }

    private void entry(String name, String content) {
        registry.applyRunnerChanges(List.of(new SharedObject(name, ++revision, false, content.getBytes(UTF_8))));
    }

    private List<String> incarnations() {
        return registry.runners("s").stream().map(Runner::incarnation).sorted().toList();
    }

    /** Guards against sending requests for the former incarnation to the restarted process. */
    @Test
    public void restartUnderTheSameIdIsANewIncarnation() {
        entry("r", "100 10.0.0.1:1");
        Runner former = registry.runners("s").getFirst();
        entry("r", "200 10.0.0.1:1");
        assertEquals(incarnations(), List.of("r@200"));
        assertFalse(registry.isUsable(former));
        assertTrue(registry.isUsable(registry.runners("s").getFirst()));
    }

    /** Guards against a late entry of the former incarnation overriding the current one. */
    @Test
    public void entriesOfAFormerIncarnationAreIgnored() {
        entry("r", "200 10.0.0.2:1");
        entry("r", "100 10.0.0.1:1");
        assertEquals(incarnations(), List.of("r@200"));
        registry.applyRunnerChanges(List.of(new SharedObject("r", ++revision, true, new byte[0])));
        entry("r", "100 10.0.0.1:1");
        assertEquals(incarnations(), List.of());
    }

    /** Guards against sending requests to a runner whose entry has been overwritten with invalid content. */
    @Test
    public void unreadableEntryRemovesTheRunner() {
        entry("r", "100 10.0.0.1:1");
        entry("other", "100 10.0.0.2:1");
        entry("r", "nonsense");
        assertEquals(incarnations(), List.of("other@100"));
        entry("r", "100 10.0.0.1:1");
        assertEquals(incarnations(), List.of("other@100", "r@100"));
    }
}
