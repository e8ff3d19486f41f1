package org.parsleydrift.placement.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;

/**
 * Return slots of rejected programs. A node assigns the slots of the programs that it rejects, and learns those of its
 * peers, since callers return at any node. Not thread-safe; confined to one event loop.
 */
public final class ReturnSchedule {
    /** Maximum number of slots told to the peers. */
    public static final int MAX_ANNOUNCED = 256;

    /** Shortest delay; a caller that returns sooner meets the same backlog. */
    static final Duration MIN_DELAY = Duration.ofMillis(100);

    /** Time before its slot from which on a returning caller is served as scheduled. */
    private static final long EARLY_NANOS = Duration.ofMillis(50).toNanos();
    /** Time after which a slot is discarded; the caller has then given up or was served. */
    private static final long KEPT_NANOS = Duration.ofSeconds(2).toNanos();
    /** Maximum time until a slot of a peer; the upper bound of the setting max_retry_after_s with some margin. */
    private static final int MAX_LEFT_MILLIS = 2_000;
    /** Maximum number of slots kept of each origin; a fleet rejects far fewer programs in the time they are kept. */
    private static final int MAX_KEPT = 1 << 14;
    /** Fractional part of the golden ratio, whose multiples are spread evenly whatever their number. */
    private static final double SPREAD_STEP = 0.618_033_988_749_894_9;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final Map<String, Long> nextSlots = new HashMap<>();
    private final Map<Long, Long> own = new LinkedHashMap<>();
    private final Map<Long, Long> learned = new LinkedHashMap<>();
    private double spread;

    /**
     * The return slot of one rejected program.
     *
     * @param programKey {@link ReturnSchedule#programKey} of the program
     * @param leftMillis time until the slot, ms; negative after it
     */
    public record Slot(long programKey, int leftMillis) {}

    /**
     * Returns the key of a program; all nodes compute the same key.
     *
     * @param program id of the program
     * @return its 64-bit hash
     */
    public static long programKey(String program) {
        return HASH.hashChars(program);
    }

    /**
     * Assigns a return slot to a rejected program. Programs beyond the upper bound are spread over the later half of the
     * permitted delay.
     *
     * @param service the contended service, whose slots are spaced apart
     * @param programKey key of the program
     * @param earliest time until the present backlog is predicted to be cleared
     * @param spacing time between two slots of the service at this node
     * @param latest upper bound of the delay
     * @param nowNanos current time, ns
     * @return delay until the slot, at least {@link #MIN_DELAY}
     */
    Duration reserve(
            String service, long programKey, Duration earliest, Duration spacing, Duration latest, long nowNanos) {
        discardOld(nowNanos);
        long minNanos = MIN_DELAY.toNanos();
        long maxNanos = Math.max(minNanos, latest.toNanos());
        long delay = Math.max(minNanos, earliest.toNanos());
        Long next = nextSlots.get(service);
        if (next != null) {
            delay = Math.max(delay, next - nowNanos);
        }
        if (delay <= maxNanos) {
            nextSlots.put(service, nowNanos + delay + spacing.toNanos());
        } else {
            spread = (spread + SPREAD_STEP) % 1;
            delay = Math.max(minNanos, (long) (maxNanos * (1 + spread) / 2));
        }
        keep(own, programKey, nowNanos + delay);
        learned.remove(programKey);
        return Duration.ofNanos(delay);
    }

    /**
     * Returns whether a program returns within its slot.
     *
     * @param programKey key of the program
     * @param nowNanos current time, ns
     * @return true from shortly before the slot until it is discarded; false for a program without a slot
     */
    public boolean isDue(long programKey, long nowNanos) {
        Long slot = own.getOrDefault(programKey, learned.get(programKey));
        return slot != null && nowNanos - slot >= -EARLY_NANOS && nowNanos - slot <= KEPT_NANOS;
    }

    /**
     * Returns the slots that this node has assigned, for the report to its peers.
     *
     * @param nowNanos current time, ns
     * @return the newest {@link #MAX_ANNOUNCED} slots that are not discarded yet, newest first
     */
    public List<Slot> announced(long nowNanos) {
        discardOld(nowNanos);
        List<Map.Entry<Long, Long>> kept = new ArrayList<>(own.entrySet());
        return kept.reversed().stream()
                .limit(MAX_ANNOUNCED)
                .map(each -> new Slot(each.getKey(), (int) Math.floorDiv(each.getValue() - nowNanos, NANOS_PER_MILLI)))
                .toList();
    }

    /**
     * Adds the slots that peers have assigned. Implausible ones are ignored. If a slot is reported several times, the
     * earliest time counts, since the transfer of a report only adds to it.
     *
     * @param slots slots of a report
     * @param nowNanos current time, ns
     * @return number of ignored slots
     */
    public int learn(List<Slot> slots, long nowNanos) {
        discardOld(nowNanos);
        Map<Boolean, List<Slot>> byPlausibility = slots.stream()
                .collect(Collectors.partitioningBy(each ->
                        each.leftMillis() <= MAX_LEFT_MILLIS && each.leftMillis() * NANOS_PER_MILLI >= -KEPT_NANOS));
        byPlausibility.get(true).stream()
                .filter(each -> !own.containsKey(each.programKey()))
                .forEach(each -> {
                    long slot = nowNanos + each.leftMillis() * NANOS_PER_MILLI;
                    Long known = learned.get(each.programKey());
                    keep(learned, each.programKey(), known == null || slot - known < 0 ? slot : known);
                });
        return byPlausibility.get(false).size();
    }

    private static void keep(Map<Long, Long> slots, long programKey, long slotNanos) {
        slots.remove(programKey);
        slots.put(programKey, slotNanos);
        if (slots.size() > MAX_KEPT) {
            slots.remove(slots.keySet().iterator().next());
        }
    }

    private void discardOld(long nowNanos) {
        own.values().removeIf(each -> nowNanos - each > KEPT_NANOS);
        learned.values().removeIf(each -> nowNanos - each > KEPT_NANOS);
    }
}
