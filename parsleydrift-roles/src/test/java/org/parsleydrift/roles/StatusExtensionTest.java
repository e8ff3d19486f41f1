package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.placement.UsageReport;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.placement.speed.SpeedSum;
import org.testng.annotations.Test;

/** The status frames with and without their extension, and their compatibility with the previous version. */
public class StatusExtensionTest {
    private static final FleetReport REPORT = new FleetReport(
            Map.of("engines", Map.of(0, 3, 2, 40), "tools", Map.of(0, 1)),
            Map.of(-7L, new SpeedSum(12, 1.5)),
            Map.of(Long.MIN_VALUE, 900, 5L, -40));

    private static NodeState state(FleetReport report) {
        return new NodeState(
                "a",
                Optional.empty(),
                7,
                true,
                true,
                false,
                Map.of(),
                new NodeUsage(Map.of(9L, 2), UsageReport.NONE).withReport(report));
    }

    private static ZoneSummary summary(String zone, FleetReport report) {
        return new ZoneSummary(
                zone,
                "a",
                3,
                1,
                Optional.empty(),
                List.of(7),
                Map.of(),
                state(report).usage());
    }

    /** Reads a node's state as the previous version does. */
    private static NodeState readAsPreviousVersion(MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        return new NodeState(
                name,
                NodeState.readIdentity(in, name),
                in.unpackInt(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                NodeState.readFreshness(in),
                NodeUsage.read(in));
    }

    /** Writes a node's state as the previous version does. */
    private static void writeAsPreviousVersion(MessagePacker out, NodeState state) throws IOException {
        out.packString(state.name());
        NodeState.writeIdentity(out, state.identity());
        out.packInt(state.round())
                .packBoolean(state.ready())
                .packBoolean(state.reachesStores())
                .packBoolean(state.reachesPlatform());
        NodeState.writeFreshness(out, state.freshness());
        state.usage().write(out);
    }

    private static NodeState decode(byte[] frame) {
        return MessagePackFrames.decode(frame, NodeState::read);
    }

    @Test
    public void reportIsReadAsWritten() {
        assertEquals(decode(MessagePackFrames.encode(state(REPORT)::write)), state(REPORT));
        Map<String, FleetReport> zones = Map.of("x", REPORT, "y", new FleetReport(Map.of(), Map.of(), Map.of(1L, 2)));
        byte[] frame = MessagePackFrames.encode(out -> StatusExtension.writeZones(out, zones));
        assertEquals(MessagePackFrames.decode(frame, in -> StatusExtension.readZones(in, "a")), zones);
    }

    /** Guards against a rolling update in which either version cannot read the frames of the other. */
    @Test
    public void bothVersionsReadEachOther() {
        byte[] newer = MessagePackFrames.encode(state(REPORT)::write);
        assertEquals(
                MessagePackFrames.decode(newer, StatusExtensionTest::readAsPreviousVersion), state(FleetReport.NONE));
        byte[] previous = MessagePackFrames.encode(out -> writeAsPreviousVersion(out, state(REPORT)));
        assertEquals(decode(previous), state(FleetReport.NONE));
    }

    /** Guards against more traffic in deployments without contention control. */
    @Test
    public void emptyReportAddsNoByte() {
        NodeState state = state(FleetReport.NONE);
        assertEquals(
                MessagePackFrames.encode(state::write),
                MessagePackFrames.encode(out -> writeAsPreviousVersion(out, state)));
        assertEquals(
                MessagePackFrames.encode(out ->
                                StatusExtension.writeZones(out, Map.of("x", FleetReport.NONE, "y", FleetReport.NONE)))
                        .length,
                0);
    }

    /** Guards against a later version whose additional keys make frames unreadable. */
    @Test
    public void unknownKeyIsSkipped() {
        FleetReport waiting = new FleetReport(REPORT.waiting(), Map.of(), Map.of());
        byte[] known = MessagePackFrames.encode(out -> StatusExtension.write(out, waiting));
        byte[] frame = MessagePackFrames.encode(out -> {
            out.packMapHeader(2).packInt(200).packBinaryHeader(3).writePayload(new byte[] {1, 2, 3});
            out.writePayload(known, 1, known.length - 1);
        });
        assertEquals(MessagePackFrames.decode(frame, in -> StatusExtension.read(in, "b")), waiting);
    }

    /** Guards against losing the load and readiness of a peer whose extension is cut off or invalid. */
    @Test
    public void malformedExtensionIsDropped() {
        byte[] whole = MessagePackFrames.encode(state(REPORT)::write);
        int content = MessagePackFrames.encode(state(FleetReport.NONE)::write).length;
        for (int length = content; length < whole.length; length++) {
            assertEquals(decode(Arrays.copyOf(whole, length)), state(FleetReport.NONE));
        }
        byte[] negative = MessagePackFrames.encode(out -> {
            byte[] waiting = MessagePackFrames.encode(value -> value.packMapHeader(1)
                    .packString("engines")
                    .packMapHeader(1)
                    .packInt(0)
                    .packInt(-2));
            out.packMapHeader(1).packInt(1).packBinaryHeader(waiting.length).writePayload(waiting);
        });
        assertEquals(MessagePackFrames.decode(negative, in -> StatusExtension.read(in, "b")), FleetReport.NONE);
        byte[] huge =
                MessagePackFrames.encode(out -> out.packMapHeader(1).packInt(1).packBinaryHeader(Integer.MAX_VALUE));
        assertEquals(MessagePackFrames.decode(huge, in -> StatusExtension.read(in, "b")), FleetReport.NONE);
    }

    /** Guards against one impossible speed of a peer that shifts the mean, or that hides the speeds of other runners. */
    @Test
    public void impossibleSpeedIsIgnored() {
        FleetReport sent = new FleetReport(
                Map.of(),
                Map.of(
                        1L,
                        new SpeedSum(5, -2),
                        2L,
                        new SpeedSum(5, 2),
                        3L,
                        new SpeedSum(-1, 1),
                        4L,
                        new SpeedSum(5, Double.NaN)),
                Map.of());
        byte[] frame = MessagePackFrames.encode(out -> StatusExtension.write(out, sent));
        assertEquals(
                MessagePackFrames.decode(frame, in -> StatusExtension.read(in, "b"))
                        .speeds(),
                Map.of(2L, new SpeedSum(5, 2)));
    }

    /** Guards against a summary whose creation time shifts its return times when it is forwarded. */
    @Test
    public void forwardedSummaryKeepsItsReport() {
        ZoneSummary forwarded = summary("x", REPORT).forForwarding(Optional.empty(), ZoneSummary.Detail.NONE, 250);
        assertEquals(forwarded.usage().report(), REPORT);
        assertEquals(forwarded.ageMillis(), 250);
    }
}
