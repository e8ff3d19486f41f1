package org.parsleydrift.bench.drain;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.parsleydrift.bench.decisions.VirtualTime;

/** A caller that keeps an address list and a connection, and retries on new connections at other addresses. */
final class ModelCaller {
    private static final double KEPT_CONNECTION_MILLIS = 1;
    private static final double NEW_CONNECTION_MILLIS = 4;
    /** Delay that a node without a free runner asks for, ms. */
    private static final double FULL_RETRY_MILLIS = 200;

    private final ModelFleet fleet;
    private final VirtualTime time;

    private final double listMillis;
    private final double lostShare;
    private List<ModelNode> addresses;
    private double listedMillis;
    private final Set<ModelNode> failed = new HashSet<>();
    private ModelNode kept;
    private int keptGeneration;
    private boolean keptBusy;

    ModelCaller(ModelFleet fleet, double listMillis, double listAge, double lostShare) {
        this.fleet = fleet;
        this.time = fleet.time();

        this.listMillis = listMillis;
        this.lostShare = lostShare;
        this.addresses = fleet.nodes();
        this.listedMillis = -listAge * listMillis;
    }

    void send(ModelRequest request) {
        if (request.counted) {
            fleet.tally().requests++;
        }
        attempt(request);
    }

    private void attempt(ModelRequest request) {
        request.attemptsLeft--;
        refreshAddresses();
        boolean usesKept = kept != null
                && !keptBusy
                && kept.generation() == keptGeneration
                && addresses.contains(kept)
                && !failed.contains(kept);
        ModelNode node = usesKept ? kept : chooseAddress(request);
        Attempt attempt = new Attempt(this, request, node, request.random.nextDouble() < lostShare);
        if (usesKept) {
            keptBusy = true;
        }
        time.schedule(usesKept ? KEPT_CONNECTION_MILLIS : NEW_CONNECTION_MILLIS, () -> {
            if (node.isListening()) {
                node.receive(attempt);
            } else {
                handle(attempt, Outcome.CONNECTION_REFUSED);
            }
        });
    }

    private void refreshAddresses() {
        if (time.millis() - listedMillis < listMillis) {
            return;
        }
        List<ModelNode> listed = fleet.directory();
        if (!listed.isEmpty()) {
            addresses = listed;
            listedMillis = time.millis();
            failed.clear();
        }
    }

    private ModelNode chooseAddress(ModelRequest request) {
        List<ModelNode> untried =
                addresses.stream().filter(each -> !failed.contains(each)).toList();
        List<ModelNode> choice = untried.isEmpty() ? addresses : untried;
        return choice.get(request.random.nextInt(choice.size()));
    }

    void handle(Attempt attempt, Outcome outcome) {
        ModelRequest request = attempt.request;
        releaseConnection(attempt.node);
        if (request.counted) {
            fleet.tally().add(outcome);
        }
        if (outcome == Outcome.SUCCESS) {
            end(request, true, false);
            return;
        }
        failed.add(attempt.node);
        request.rejected |= outcome == Outcome.REJECTED_BY_DRAIN;
        if (outcome == Outcome.INTERRUPTED) {
            request.remainingMillis -= time.millis() - attempt.startMillis;
        }
        double left = request.deadlineMillis() - time.millis();
        boolean mayRepeat = outcome.isNotRun() || request.kind.repeatable();
        if (!mayRepeat || request.attemptsLeft == 0 || left <= 0) {
            end(request, false, !outcome.isNotRun());
            return;
        }
        double retryMillis = switch (outcome) {
            case REJECTED_FULL -> FULL_RETRY_MILLIS;
            case REJECTED_BY_DRAIN -> fleet.rule().retryMillis(fleet.readyNodes());
            default -> 0;
        };
        time.schedule(Math.min(retryMillis, left / 3), () -> attempt(request));
    }

    /** Keeps the connection to a node that is ready; other nodes close it after the response. */
    private void releaseConnection(ModelNode node) {
        if (node == kept) {
            keptBusy = false;
        }
        if (node.isReady() && !keptBusy) {
            kept = node;
            keptGeneration = node.generation();
        } else if (node == kept) {
            kept = null;
        }
    }

    private void end(ModelRequest request, boolean served, boolean mayHaveRun) {
        if (request.counted) {
            fleet.tally().addEnd(request, served, mayHaveRun, time.millis());
        }
    }
}
