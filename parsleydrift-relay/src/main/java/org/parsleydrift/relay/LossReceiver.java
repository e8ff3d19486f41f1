package org.parsleydrift.relay;

import java.util.List;
import org.parsleydrift.placement.RunnerLoss;

/** Receives what peers report about runners that were lost under requests. */
public interface LossReceiver {
    /**
     * Records losses that a peer has reported.
     *
     * @param losses the losses
     */
    void recordReported(List<RunnerLoss> losses);

    /**
     * Takes back losses that a peer has reported, unless this node has seen them as well.
     *
     * @param losses the losses
     */
    void recordRetracted(List<RunnerLoss> losses);
}
