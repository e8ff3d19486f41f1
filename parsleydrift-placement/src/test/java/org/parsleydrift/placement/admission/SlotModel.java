package org.parsleydrift.placement.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.parsleydrift.placement.ContentionSettings;
import org.parsleydrift.placement.fleet.SlotReservation;
import org.parsleydrift.placement.queue.ProgramDurations;
import org.parsleydrift.placement.queue.QueueOrder;
import org.parsleydrift.placement.queue.RankFloors;
import org.parsleydrift.placement.queue.TeamShares;
import org.parsleydrift.placement.queue.WaitingRequest;

/** Event-driven model of programs at the slots of one service, with the new decisions or with today's order. */
final class SlotModel {
    static final long MILLI = 1_000_000;
    static final int RUNNERS = 4;
    static final int RUNNER_SLOTS = 5;
    private static final long TURN = 150 * MILLI;
    private static final long TOOLS = 130 * MILLI;
    private static final long ATTEMPT = 3_000 * MILLI;
    private static final long TODAYS_WAIT = 900 * MILLI;
    private static final long TODAYS_RETRY = 375 * MILLI;
    private static final Comparator<Waiting> TODAYS_ORDER = Comparator.<Waiting, Boolean>comparing(
                    each -> !each.request.started())
            .thenComparingInt(each -> each.request.rank())
            .thenComparingLong(each -> each.request.arrival());

    static final class Program {
        final String team;
        final int rank;
        final int turns;
        final long start;
        final long target;
        int done;
        long end;
        int refusals;
        boolean returnedInSlot;
        long firstWait = -1;
        long waited;

        boolean finished() {
            return done == turns;
        }

        /** Returns the worth to the caller: all of it in time, less up to twice the target, else none. */
        double worth() {
            double whole = rank == 0 ? 5.7 : 5;
            double late = rank == 0 ? 1.1 : 3.7;
            return !finished() || end - start > 2 * target ? 0 : end - start > target ? late : whole;
        }

        long deadline() {
            return start + target;
        }

        Program(String team, int rank, long now) {
            this.team = team;
            this.rank = rank;
            this.turns = rank == 0 ? 4 : 7;
            this.start = now;
            this.target = (long) (1.3 * (turns * TURN + (turns - 1) * TOOLS)) + (rank == 0 ? 251 : 501) * MILLI;
        }
    }

    private record Waiting(Program program, WaitingRequest request, long since) {}

    private record Event(long at, long number, Runnable action) {}

    private final boolean today;
    private final ContentionSettings settings = new ContentionSettings(0.05, 0.95, 0.1, 0.6, 1, false);
    private final ReturnSchedule returns = new ReturnSchedule();
    private final AdmissionController controller = new AdmissionController(settings, returns);
    private final DrainRate drain = new DrainRate();
    private final TeamShares shares = new TeamShares();
    private final RankFloors floors = new RankFloors(settings.floorShare());
    private final ProgramDurations durations = new ProgramDurations();
    private final SlotReservation reservation = new SlotReservation(settings.reservedShare());
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Waiting> queue = new ArrayList<>();
    private final int[] loads = new int[RUNNERS];
    final List<Program> programs = new ArrayList<>();
    /** Ranks in order of assignment, while both ranks waited. */
    final List<Integer> contested = new ArrayList<>();

    private long now;
    private long numbers;

    SlotModel(boolean today) {
        this.today = today;
    }

    /** Adds programs of a team at even intervals within a period, ms. */
    SlotModel load(String team, int rank, double perSecond, long fromMillis, long toMillis) {
        int count = (int) (perSecond * (toMillis - fromMillis) / 1000);
        IntStream.range(0, count)
                .mapToLong(each -> (long) ((fromMillis + each * 1000 / perSecond) * MILLI))
                .forEach(at -> at(at, () -> {
                    Program program = new Program(team, rank, now);
                    programs.add(program);
                    arrive(program);
                }));
        return this;
    }

    SlotModel run() {
        while (!events.isEmpty()) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        return this;
    }

    List<Program> programs(Predicate<Program> filter) {
        return programs.stream().filter(filter).toList();
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, numbers++, action));
    }

    private void arrive(Program program) {
        boolean started = program.done > 0;
        String route = "rank" + program.rank;
        long key = ReturnSchedule.programKey("program" + programs.indexOf(program));
        boolean returned = !started && returns.isDue(key, now);
        program.returnedInSlot |= returned;
        if (queue.isEmpty() && program.refusals == 0) {
            durations.recordArrival(route, started, OptionalLong.of(program.deadline() - now));
        }
        WaitingRequest request = new WaitingRequest(
                "engine",
                program.team,
                program.rank,
                started,
                returned,
                OptionalLong.of(program.deadline()),
                now + ATTEMPT,
                durations.neededNanos(route, started),
                numbers++);
        if (today) {
            enqueue(new Waiting(program, request, now), TODAYS_WAIT, () -> TODAYS_RETRY);
            return;
        }
        List<WaitingRequest> waiting = queue.stream().map(Waiting::request).toList();
        AdmissionRequest admission = new AdmissionRequest(
                "engine",
                key,
                program.rank,
                started,
                returned,
                shares.belowShare("engine", Set.of(program.team), now).contains(program.team),
                true,
                QueueOrder.countAhead(waiting, request, now, shares),
                request.programDeadlineNanos(),
                request.deadlineNanos(),
                durations.runNanos(route),
                request.neededNanos());
        switch (controller.decide(admission, state(program.rank), now)) {
            case Admission.Enqueue accepted ->
                enqueue(
                        new Waiting(program, request, now),
                        accepted.maxWait().toNanos(),
                        () -> controller
                                .refuseWaited(admission, state(program.rank), now)
                                .retryAfter()
                                .toNanos());
            case Admission.Refuse refused ->
                returnLater(program, refused.retryAfter().toNanos());
        }
    }

    private void enqueue(Waiting waiting, long maxWait, LongSupplier retryAfter) {
        queue.add(waiting);
        at(now + maxWait, () -> {
            if (queue.remove(waiting)) {
                returnLater(waiting.program, retryAfter.getAsLong());
            }
        });
        dispatch();
    }

    /** A caller comes back at most twice. */
    private void returnLater(Program program, long delay) {
        program.refusals++;
        if (program.refusals <= 2) {
            at(now + delay, () -> arrive(program));
        }
    }

    private ServiceState state(int rank) {
        int slots = RUNNERS * RUNNER_SLOTS;
        int load = IntStream.of(loads).sum();
        return new ServiceState(
                slots,
                load,
                0,
                waitingByRank(),
                Map.of(),
                drain.slotsPerSecond(rank, settings.floorShare(), load, slots, now),
                1);
    }

    private Map<Integer, Integer> waitingByRank() {
        return queue.stream()
                .collect(Collectors.groupingBy(
                        each -> each.program.rank, TreeMap::new, Collectors.summingInt(each -> 1)));
    }

    private void dispatch() {
        List<Waiting> order = today
                ? queue.stream().sorted(TODAYS_ORDER).toList()
                : QueueOrder.sort(queue, Waiting::request, now, shares, floors);
        order.forEach(each -> {
            int rank = each.program.rank;
            int limit = today
                    ? RUNNER_SLOTS
                    : reservation.highestLoad(
                            RUNNER_SLOTS, RUNNER_SLOTS, rank, floors.isDue("engine", rank), state(rank));
            IntStream.range(0, RUNNERS)
                    .boxed()
                    .min(Comparator.comparingInt(runner -> loads[runner]))
                    .filter(runner -> loads[runner] < limit)
                    .ifPresent(runner -> assign(each, runner));
        });
    }

    private void assign(Waiting waiting, int runner) {
        Program program = waiting.program;
        queue.remove(waiting);
        Set<Integer> others = waitingByRank().keySet();
        if (others.stream().anyMatch(each -> each != program.rank)) {
            contested.add(program.rank);
        }
        loads[runner]++;
        drain.recordAssigned(program.rank, now);
        shares.recordAssigned("engine", program.team, now);
        floors.recordAssigned("engine", program.rank, others);
        program.waited += now - waiting.since;
        program.firstWait = program.firstWait < 0 ? now - waiting.since : program.firstWait;
        at(now + TURN, () -> {
            loads[runner]--;
            drain.recordReleased(true, now);
            durations.recordRun("rank" + program.rank, TURN);
            program.done++;
            program.end = now;
            if (!program.finished()) {
                at(now + TOOLS, () -> arrive(program));
            }
            dispatch();
        });
    }
}
