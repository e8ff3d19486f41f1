package org.parsleydrift.relay;

import java.time.Duration;
import java.util.function.Consumer;
import org.parsleydrift.kernel.Cancellable;
import org.parsleydrift.registry.Runner;

/**
 * Grants slots of runners. The {@link Dispatcher} asks it before it sends a request to a runner of a controlled
 * service. Confined to one event loop.
 */
public interface SlotGate {
    /** Controls no service, so that requests are sent to the chosen runners at once. */
    SlotGate OPEN = new SlotGate() {
        @Override
        public boolean isControlled(String service) {
            return false;
        }

        @Override
        public Cancellable request(Runner runner, int rank, Duration time, Consumer<Answer> listener) {
            listener.accept(new Granted(0, () -> {}));
            return () -> {};
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            throw new IllegalStateException("no request is rejected");
        }
    };

    /**
     * Whether slots of a service's runners have to be asked for.
     *
     * @param service name of the service
     * @return true if so
     */
    boolean isControlled(String service);

    /**
     * Asks for a slot.
     *
     * @param runner the runner
     * @param rank rank of the request; 0 is the best
     * @param time time for which the slot may be needed
     * @param listener receives the answer, once; possibly within this call
     * @return withdraws a request that has not been answered, after which the listener is not called
     */
    Cancellable request(Runner runner, int rank, Duration time, Consumer<Answer> listener);

    /**
     * Runs a task later, to try rejected requests again.
     *
     * @param delay the delay
     * @param task the task
     */
    void schedule(Duration delay, Runnable task);

    /** Answer to a request for a slot. */
    sealed interface Answer {}

    /**
     * The slot may be used.
     *
     * @param leases leases at the runner, including this one; 0 if unknown
     * @param lease releases the slot
     */
    record Granted(int leases, Cancellable lease) implements Answer {}

    /**
     * The runner has no slot for the request.
     *
     * @param leases leases at the runner
     */
    record Rejected(int leases) implements Answer {}
}
