package org.parsleydrift.placement.admission;

import java.time.Duration;
import org.parsleydrift.placement.ContentionSettings;

/**
 * Decides whether a request may wait for a slot of a contended service or is rejected at once. A request is never
 * rejected while a slot is free to its rank or nothing waits. Not thread-safe; confined to one event loop.
 */
public final class AdmissionController {
    private final ContentionSettings settings;
    private final ReturnSchedule returns;

    /**
     * Creates a controller.
     *
     * @param settings settings of the deployment
     * @param returns return slots of rejected programs, of this node and its peers
     */
    public AdmissionController(ContentionSettings settings, ReturnSchedule returns) {
        this.settings = settings;
        this.returns = returns;
    }

    /**
     * Decides on a request.
     *
     * @param request the request
     * @param state state of its service
     * @param nowNanos current time, ns
     * @return the decision
     */
    public Admission decide(AdmissionRequest request, ServiceState state, long nowNanos) {
        return new Admission.Enqueue(Duration.ofMillis((long) (1000 * settings.maxRetryAfterSeconds())), Duration.ZERO);
    }

    /**
     * Rejects a request that has waited for its maximum time, and assigns it a return slot.
     *
     * @param request the request
     * @param state state of its service
     * @param nowNanos current time, ns
     * @return the rejection
     */
    public Admission.Refuse refuseWaited(AdmissionRequest request, ServiceState state, long nowNanos) {
        return new Admission.Refuse(
                returns.reserve(
                        request.service(),
                        request.programKey(),
                        Duration.ZERO,
                        Duration.ZERO,
                        Duration.ofSeconds(1),
                        nowNanos),
                Admission.Reason.WAITED,
                Duration.ZERO,
                Duration.ZERO);
    }
}
