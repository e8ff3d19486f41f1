package org.parsleydrift.roles;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Seeds of the processes of a fleet, from which the ids of their attempts and calls are drawn. */
public class ProcessSeedTest {
    private static final Instant START = Instant.parse("2026-12-05T10:00:00.123456Z");
    private static final long PID = 7;

    /** Guards against processes that take each other's attempts for their own, as their VMs' names have one hash code. */
    @Test
    public void namesWithOneHashCodeHaveDifferentSeeds() {
        assertDifferent(LongStream.of(
                ProcessContext.seed("entry-Aa", START, PID), ProcessContext.seed("entry-BB", START, PID)));
    }

    /** Guards against equal seeds of numbered VMs, which differ by little in their names and in their times of start. */
    @Test
    public void numberedNamesHaveDifferentSeedsAtAllTimes() {
        int vms = 10;
        assertDifferent(IntStream.range(0, vms)
                .mapToLong(each -> ProcessContext.seed("entry-" + each, START.plusMillis(-1_000_003L * each), PID)));
        assertDifferent(IntStream.range(0, vms)
                .boxed()
                .flatMap(vm -> IntStream.range(0, 10_000)
                        .mapToObj(time -> ProcessContext.seed("entry-" + vm, START.plusMillis(time), PID)))
                .mapToLong(each -> each));
    }

    /** Guards against equal seeds of a process and its successor at a clock that was set back or did not advance. */
    @Test
    public void successorHasAnotherSeed() {
        assertDifferent(LongStream.of(
                ProcessContext.seed("entry-1", START, PID),
                ProcessContext.seed("entry-1", START, PID + 1),
                ProcessContext.seed("entry-1", START.plusNanos(1), PID)));
    }

    private static void assertDifferent(LongStream seeds) {
        long[] all = seeds.toArray();
        Set<Long> different = new HashSet<>();
        LongStream.of(all).forEach(different::add);
        assertEquals(different.size(), all.length);
    }
}
