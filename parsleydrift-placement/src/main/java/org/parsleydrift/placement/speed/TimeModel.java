package org.parsleydrift.placement.speed;

/**
 * The time that a step of a request takes on a typical runner of a service, as a linear function of one quantity. The
 * fit is aged by the number of samples, and each sample is limited, so that single slow responses do not move it.
 */
final class TimeModel {
    /** Samples from which on the model predicts; with fewer, single outliers would decide. */
    static final int MIN_SAMPLES = 8;

    /** Weight that the earlier samples keep with each new one: a memory of about 100 samples. */
    private static final double RETAINED = 0.99;
    /** Ratio to the predicted time, and its reciprocal, to which a sample is limited. */
    private static final double MAX_RATIO = 3;
    /** Smallest part of the mean time that does not depend on the quantity; avoids predictions near zero. */
    private static final double MIN_CONSTANT_SHARE = 0.1;

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    /**
     * Adds a sample.
     *
     * @param x the quantity that the time depends on
     * @param millis the time on a typical runner, ms
     */
    void add(double x, double millis) {
        double limited =
                isKnown() ? Math.clamp(millis, predictMillis(x) / MAX_RATIO, predictMillis(x) * MAX_RATIO) : millis;
        weight = weight * RETAINED + 1;
        sumX = sumX * RETAINED + x;
        sumY = sumY * RETAINED + limited;
        sumXx = sumXx * RETAINED + x * x;
        sumXy = sumXy * RETAINED + x * limited;
    }

    boolean isKnown() {
        return weight >= MIN_SAMPLES * RETAINED;
    }

    /** Returns the predicted time in ms, which is positive; only if the model is known. */
    double predictMillis(double x) {
        double slope = millisPerUnit();
        return Math.max(Double.MIN_NORMAL, sumY / weight - slope * (sumX / weight - x));
    }

    /** Returns the additional time per unit of the quantity, ms; 0 if it has no influence or is not known. */
    double millisPerUnit() {
        if (weight == 0) {
            return 0;
        }
        double meanX = sumX / weight;
        double meanY = sumY / weight;
        double varianceX = sumXx / weight - meanX * meanX;
        // A quantity that hardly varies says nothing about its influence.
        if (meanX <= 0 || varianceX <= 1e-6 * meanX * meanX) {
            return 0;
        }
        double slope = (sumXy / weight - meanX * meanY) / varianceX;
        return Math.clamp(slope, 0, (1 - MIN_CONSTANT_SHARE) * meanY / meanX);
    }
}
