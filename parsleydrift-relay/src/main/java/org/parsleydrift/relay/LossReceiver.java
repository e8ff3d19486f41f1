package org.parsleydrift.relay;

import java.util.List;
import org.parsleydrift.placement.RunnerLoss;

/** Receives what peers report about runners at which work was left unfinished. */
public interface LossReceiver {
    /**
     * Records losses that a peer has reported.
     *
     * @param losses the losses
     * @param connectionLost whether connections to these runners were lost, so that they may have been restarted
     */
    void recordReported(List<RunnerLoss> losses, boolean connectionLost);

    /**
     * Takes back losses, as their work has been completed or the runner has outlived it.
     *
     * @param losses the losses
     */
    void recordRetracted(List<RunnerLoss> losses);
}
