package org.parsleydrift.relay;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleydrift.conversation.ResumedStream;
import org.parsleydrift.conversation.StreamOrigin;
import org.parsleydrift.kernel.LogLine;
import org.parsleydrift.registry.Destination;
import org.parsleydrift.registry.Route;
import org.parsleydrift.registry.Runner;

/**
 * Binds an event stream to the service and the software version of the runners at which it begins. The events of different
 * versions do not fit together and runners do not check this, so a stream whose origin is unknown is never continued.
 *
 * <p>The store VMs hold the origin. If all runners of the service have one version, it is written with the reservation of
 * the turn, and the turn is sent to runners of this version only; else it is written once the first event is forwarded.
 */
final class StreamBinding {
    private static final Logger LOG = System.getLogger(StreamBinding.class.getName());

    private final Relay relay;
    private final RequestParameters parameters;
    private final Route route;
    private final String owner;
    private Optional<StreamOrigin> bound = Optional.empty();
    private boolean recorded;

    /** Creates a binding whose stream ids are prefixed with the owner, as other owners may use the same ids. */
    StreamBinding(Relay relay, RequestParameters parameters, Route route, String owner) {
        this.relay = relay;
        this.parameters = parameters;
        this.route = route;
        this.owner = owner;
    }

    /** Returns whether the request continues an interrupted stream. */
    boolean isResumption() {
        return route.isStreaming() && parameters.resumption().isPresent();
    }

    /**
     * Returns whether streams of the route can be continued. Those of stateful routes cannot, since the record of a turn
     * must hold all events, of which the node that continues it receives only the last ones.
     */
    private boolean canBeContinued() {
        return route.isStreaming() && route.resumable() && !route.stateful();
    }

    /**
     * Returns the stream that the request continues. If the caller does not name it, it is one of those of its program,
     * all of which have grants if the program has a budget.
     */
    ResumedStream resumedStream() {
        if (!isResumption()) {
            return new ResumedStream.None();
        }
        String named = parameters.resumption().get().stream();
        return named.isEmpty() ? new ResumedStream.OfProgram(owner) : new ResumedStream.Named(owner + named);
    }

    /** Returns why the request cannot continue a stream, whatever its origin; empty if it can or is a new request. */
    Optional<String> obstacle() {
        if (!isResumption()) {
            return Optional.empty();
        }
        if (!canBeContinued()) {
            return rejected("route_not_resumable", Optional.empty());
        }
        boolean findable = resumedStream() instanceof ResumedStream.Named || parameters.isTurn(route);
        return findable ? Optional.empty() : rejected("unknown_origin", Optional.empty());
    }

    /**
     * Binds a new stream if all runners of the service have the same version.
     *
     * @return the origin to write with the reservation; empty if the version is not determined yet
     */
    Optional<StreamOrigin> bindNew(String service) {
        if (!canBeContinued() || isResumption()) {
            return Optional.empty();
        }
        List<Runner> runners = relay.dispatcher().runners(service);
        Set<String> versions = runners.stream().map(Runner::softwareVersion).collect(Collectors.toSet());
        boolean certain = versions.size() == 1
                && !versions.contains("")
                && runners.stream().noneMatch(relay.losses()::mayHaveRestarted);
        bound = certain ? Optional.of(origin(service, versions.iterator().next())) : Optional.empty();
        return bound;
    }

    /** Records that the store VMs hold the origin of the new stream. */
    void markRecorded() {
        recorded = true;
    }

    /**
     * Binds a resumption to the origin that the store VMs have returned.
     *
     * @return why the stream cannot be continued; empty if it can
     */
    Optional<String> bindResumption(Optional<StreamOrigin> origin) {
        if (origin.isEmpty()) {
            return rejected("unknown_origin", origin);
        }
        StreamOrigin known = origin.get();
        boolean routed = route.destinations().stream()
                .filter(each -> each.weight() > 0)
                .map(Destination::service)
                .anyMatch(known.service()::equals);
        if (!routed) {
            return rejected("service_not_routed", origin);
        }
        bound = origin;
        if (eligibleRunners(known.service()).isEmpty()) {
            return rejected("no_runner_of_version", origin);
        }
        log("continued", origin);
        // A caller may name this attempt if it is interrupted as well.
        record(origin(known.service(), known.softwareVersion()));
        return Optional.empty();
    }

    /** Returns the service that the stream is bound to; empty if it is not bound. */
    Optional<String> boundService() {
        return bound.map(StreamOrigin::service);
    }

    /** Returns whether the stream may run at a runner, judging by its software version. */
    boolean accepts(Runner runner) {
        return bound.isEmpty()
                || (runner.hasSoftwareVersion(bound.get().softwareVersion())
                        && !relay.losses().mayHaveRestarted(runner));
    }

    /** Returns the runners of a service that accept new requests and at which the stream may run. */
    List<Runner> eligibleRunners(String service) {
        return relay.dispatcher().runners(service).stream()
                .filter(this::accepts)
                .toList();
    }

    /** Returns why no runner can serve the bound stream any more; empty if one can or the stream is not bound. */
    Optional<String> unavailability(String service) {
        return bound.isPresent() && eligibleRunners(service).isEmpty()
                ? Optional.of("no runner of software version " + bound.get().softwareVersion())
                : Optional.empty();
    }

    /** Writes the origin before the first event is forwarded, unless the store VMs hold it already. */
    void recordFirstEvent(Runner runner) {
        boolean known = !runner.softwareVersion().isEmpty() && !relay.losses().mayHaveRestarted(runner);
        if (!recorded && canBeContinued() && known) {
            record(origin(runner.service(), runner.softwareVersion()));
        }
    }

    private void record(StreamOrigin origin) {
        recorded = true;
        Duration retention = route.retention().compareTo(route.timeout()) > 0 ? route.retention() : route.timeout();
        relay.conversations().recordOrigin(origin, retention);
    }

    private StreamOrigin origin(String service, String softwareVersion) {
        return new StreamOrigin(owner + parameters.id(), service, softwareVersion);
    }

    private Optional<String> rejected(String result, Optional<StreamOrigin> origin) {
        log(result, origin);
        return Optional.of("stream cannot be continued: " + result);
    }

    private void log(String result, Optional<StreamOrigin> origin) {
        relay.metrics().recordResumption(result);
        LOG.log(
                Logger.Level.INFO,
                () -> LogLine.of("stream_resumption")
                        .with("request", parameters.id())
                        .with("program", parameters.program())
                        .with("route", route.name())
                        .with(
                                "stream",
                                parameters
                                        .resumption()
                                        .map(StreamResumption::stream)
                                        .orElse(""))
                        .with(
                                "last_event",
                                parameters
                                        .resumption()
                                        .map(StreamResumption::lastEventId)
                                        .orElse(""))
                        .with("service", origin.map(StreamOrigin::service).orElse(""))
                        .with(
                                "version",
                                origin.map(StreamOrigin::softwareVersion).orElse(""))
                        .with("result", result)
                        .toString());
    }
}
