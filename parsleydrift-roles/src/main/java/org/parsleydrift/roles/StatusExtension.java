package org.parsleydrift.roles;

import java.io.IOException;
import java.lang.System.Logger;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.kernel.codec.MessagePackFrames;
import org.parsleydrift.placement.fleet.FleetReport;
import org.parsleydrift.placement.speed.SpeedSum;

/**
 * Extension of the status frames: a map from a small integer to a byte string, after the content that earlier versions
 * know. They ignore what follows that content. An unknown key is skipped, and a frame without the map has empty
 * reports. An empty report adds no byte.
 *
 * <p>In the frame of a node each byte string holds the value of its key. In the frame of a hub it holds a map from the
 * name of a zone to a byte string with the value for that zone.
 */
final class StatusExtension {
    private static final Logger LOG = System.getLogger(StatusExtension.class.getName());
    /** Limit for the length of a byte string, bytes; a report of one zone within its bounds takes under 16 kB. */
    private static final int MAX_VALUE_BYTES = 1 << 20;

    /** The parts of a report and their keys. */
    private enum Part {
        WAITING(1) {
            @Override
            boolean isPresent(FleetReport report) {
                return !report.waiting().isEmpty();
            }

            @Override
            void write(MessagePacker out, FleetReport report) throws IOException {
                out.packMapHeader(report.waiting().size());
                for (Map.Entry<String, Map<Integer, Integer>> service :
                        report.waiting().entrySet()) {
                    out.packString(service.getKey())
                            .packMapHeader(service.getValue().size());
                    for (Map.Entry<Integer, Integer> rank : service.getValue().entrySet()) {
                        out.packInt(rank.getKey()).packInt(rank.getValue());
                    }
                }
            }

            @Override
            FleetReport read(MessageUnpacker in) throws IOException {
                Map<String, Map<Integer, Integer>> waiting = new HashMap<>();
                int services = in.unpackMapHeader();
                for (int i = 0; i < services; i++) {
                    Map<Integer, Integer> ranks = new HashMap<>();
                    waiting.put(in.unpackString(), ranks);
                    int rankCount = in.unpackMapHeader();
                    for (int j = 0; j < rankCount; j++) {
                        ranks.put(in.unpackInt(), requireCount(in.unpackInt()));
                    }
                }
                return new FleetReport(waiting, Map.of(), Map.of());
            }
        },
        SPEEDS(2) {
            @Override
            boolean isPresent(FleetReport report) {
                return !report.speeds().isEmpty();
            }

            @Override
            void write(MessagePacker out, FleetReport report) throws IOException {
                out.packMapHeader(report.speeds().size());
                for (Map.Entry<Long, SpeedSum> each : report.speeds().entrySet()) {
                    out.packLong(each.getKey()).packInt(each.getValue().count());
                    out.packFloat((float) each.getValue().meanFactor());
                }
            }

            @Override
            FleetReport read(MessageUnpacker in) throws IOException {
                Map<Long, SpeedSum> speeds = new HashMap<>();
                int runners = in.unpackMapHeader();
                for (int i = 0; i < runners; i++) {
                    long runner = in.unpackLong();
                    SpeedSum speed = new SpeedSum(in.unpackInt(), in.unpackFloat());
                    if (speed.isValid()) {
                        speeds.put(runner, speed);
                    } else {
                        logInvalid(runner, speed);
                    }
                }
                return new FleetReport(Map.of(), speeds, Map.of());
            }
        },
        RETURNS(3) {
            @Override
            boolean isPresent(FleetReport report) {
                return !report.returnMillis().isEmpty();
            }

            @Override
            void write(MessagePacker out, FleetReport report) throws IOException {
                out.packMapHeader(report.returnMillis().size());
                for (Map.Entry<Long, Integer> each : report.returnMillis().entrySet()) {
                    out.packLong(each.getKey()).packInt(each.getValue());
                }
            }

            @Override
            FleetReport read(MessageUnpacker in) throws IOException {
                Map<Long, Integer> returnMillis = new HashMap<>();
                int programs = in.unpackMapHeader();
                for (int i = 0; i < programs; i++) {
                    returnMillis.put(in.unpackLong(), in.unpackInt());
                }
                return new FleetReport(Map.of(), Map.of(), returnMillis);
            }
        };

        private final int key;

        Part(int key) {
            this.key = key;
        }

        abstract boolean isPresent(FleetReport report);

        abstract void write(MessagePacker out, FleetReport report) throws IOException;

        abstract FleetReport read(MessageUnpacker in) throws IOException;

        private byte[] encode(FleetReport report) {
            return MessagePackFrames.encode(out -> write(out, report));
        }
    }

    private StatusExtension() {}

    /** Writes the report of a node; writes nothing if it is empty. */
    static void write(MessagePacker out, FleetReport report) throws IOException {
        SortedMap<Integer, byte[]> values = new TreeMap<>();
        FleetReport limited = report.limited();
        for (Part part : Part.values()) {
            if (part.isPresent(limited)) {
                values.put(part.key, part.encode(limited));
            }
        }
        writeValues(out, values);
    }

    /** Writes the reports of zones, by name of the zone; writes nothing if all are empty. */
    static void writeZones(MessagePacker out, Map<String, FleetReport> reports) throws IOException {
        SortedMap<Integer, byte[]> values = new TreeMap<>();
        for (Part part : Part.values()) {
            SortedMap<String, byte[]> byZone = new TreeMap<>();
            reports.forEach((zone, report) -> {
                FleetReport limited = report.limited();
                if (part.isPresent(limited)) {
                    byZone.put(zone, part.encode(limited));
                }
            });
            if (!byZone.isEmpty()) {
                values.put(part.key, encodeByZone(byZone));
            }
        }
        writeValues(out, values);
    }

    /**
     * Reads the report of a node.
     *
     * @param in unpacker after the content that earlier versions know
     * @param sender name of the sender for the log
     * @return the report; empty if the frame ends here or its extension is malformed
     */
    static FleetReport read(MessageUnpacker in, String sender) {
        FleetReport[] report = {FleetReport.NONE};
        boolean wellFormed = readValues(in, sender, (part, value) -> report[0] = report[0].plus(decode(part, value)));
        return wellFormed ? report[0].limited() : FleetReport.NONE;
    }

    /**
     * Reads the reports of zones.
     *
     * @param in unpacker after the content that earlier versions know
     * @param sender name of the sender for the log
     * @return reports by name of the zone; empty if the frame ends here or its extension is malformed
     */
    static Map<String, FleetReport> readZones(MessageUnpacker in, String sender) {
        Map<String, FleetReport> reports = new HashMap<>();
        boolean wellFormed = readValues(
                in,
                sender,
                (part, value) -> decodeByZone(value)
                        .forEach((zone, bytes) -> reports.merge(zone, decode(part, bytes), FleetReport::plus)));
        reports.replaceAll((zone, report) -> report.limited());
        return wellFormed ? Map.copyOf(reports) : Map.of();
    }

    private static void writeValues(MessagePacker out, SortedMap<Integer, byte[]> values) throws IOException {
        if (values.isEmpty()) {
            return;
        }
        out.packMapHeader(values.size());
        for (Map.Entry<Integer, byte[]> each : values.entrySet()) {
            out.packInt(each.getKey());
            writeBytes(out, each.getValue());
        }
    }

    /** Passes the value of each known key to the consumer; returns whether the extension is well-formed. */
    private static boolean readValues(MessageUnpacker in, String sender, BiConsumer<Part, byte[]> consumer) {
        try {
            int size = in.hasNext() ? in.unpackMapHeader() : 0;
            for (int i = 0; i < size; i++) {
                int key = in.unpackInt();
                byte[] value = readBytes(in);
                for (Part part : Part.values()) {
                    if (part.key == key) {
                        consumer.accept(part, value);
                    }
                }
            }
            return true;
        } catch (IOException | RuntimeException malformed) {
            LOG.log(
                    Logger.Level.WARNING,
                    () -> LogLine.of("status_extension_malformed")
                            .with("peer", sender)
                            .failure(malformed)
                            .toString());
            return false;
        }
    }

    private static FleetReport decode(Part part, byte[] value) {
        return MessagePackFrames.decode(value, part::read);
    }

    private static byte[] encodeByZone(SortedMap<String, byte[]> byZone) {
        return MessagePackFrames.encode(out -> {
            out.packMapHeader(byZone.size());
            for (Map.Entry<String, byte[]> each : byZone.entrySet()) {
                out.packString(each.getKey());
                writeBytes(out, each.getValue());
            }
        });
    }

    private static Map<String, byte[]> decodeByZone(byte[] value) {
        return MessagePackFrames.decode(value, in -> {
            Map<String, byte[]> byZone = new HashMap<>();
            int zones = in.unpackMapHeader();
            for (int i = 0; i < zones; i++) {
                byZone.put(in.unpackString(), readBytes(in));
            }
            return byZone;
        });
    }

    private static void writeBytes(MessagePacker out, byte[] bytes) throws IOException {
        out.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] readBytes(MessageUnpacker in) throws IOException {
        int length = in.unpackBinaryHeader();
        if (length > MAX_VALUE_BYTES) {
            throw new IOException("value has " + length + " bytes, expected at most " + MAX_VALUE_BYTES);
        }
        return in.readPayload(length);
    }

    private static void logInvalid(long runner, SpeedSum speed) {
        LOG.log(
                Logger.Level.WARNING,
                () -> LogLine.of("runner_speed_invalid")
                        .with("runner_key", runner)
                        .with("count", speed.count())
                        .with("factor", speed.meanFactor())
                        .toString());
    }

    private static int requireCount(int count) {
        if (count < 0) {
            throw new IllegalArgumentException("count is " + count + ", expected 0 or more");
        }
        return count;
    }
}
