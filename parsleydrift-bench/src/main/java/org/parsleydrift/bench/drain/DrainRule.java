package org.parsleydrift.bench.drain;

import java.util.OptionalDouble;

/** Decides what a draining node accepts, and whether it answers what is open at the end. */
sealed interface DrainRule {
    /** Returns whether a request is accepted; otherwise it is rejected as not run. */
    boolean accepts(DrainOffer offer);

    /** Returns whether open requests get a response before the exit; otherwise their connections are closed. */
    default boolean answersOpenRequests() {
        return true;
    }

    /** Returns the delay after which rejected callers are asked to come back, ms. */
    default double retryMillis(int readyNodes) {
        return 0;
    }

    /** Accepts everything and closes the connections of open requests at the exit. */
    record CutAtExit() implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            return true;
        }

        @Override
        public boolean answersOpenRequests() {
            return false;
        }
    }

    /** Accepts everything. */
    record AcceptAll() implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            return true;
        }
    }

    /** Accepts requests whose whole budget fits into the time left. */
    record WholeBudget() implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            return offer.leftMillis() >= offer.budgetMillis();
        }
    }

    /**
     * Accepts requests if the time left is at least the budget or a multiple of the target latency, and streams if it is
     * at least the budget.
     */
    record TargetLatencies(double unrepeatable, double repeatable) implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            RequestKind kind = offer.kind();
            double usual = kind.targetMillis() * (kind.repeatable() ? repeatable : unrepeatable);
            double needed = kind.streaming() ? offer.budgetMillis() : Math.min(usual, offer.budgetMillis());
            return offer.leftMillis() >= needed;
        }
    }

    /** Like {@link TargetLatencies}, but requests that cannot be repeated need their whole budget. */
    record UnrepeatableWholeBudget(double repeatable) implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            return new TargetLatencies(Double.POSITIVE_INFINITY, repeatable).accepts(offer);
        }
    }

    /**
     * Accepts requests if the time left is at least the budget or a quantile of the latencies that the node has seen.
     *
     * @param unrepeatable quantile for requests that cannot be repeated
     * @param repeatable quantile for the others
     * @param unknown rule until the node has seen enough
     */
    record ObservedLatencies(double unrepeatable, double repeatable, DrainRule unknown) implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            OptionalDouble usual = offer.latencies().quantile(offer.kind().repeatable() ? repeatable : unrepeatable);
            return usual.isPresent()
                    ? offer.leftMillis() >= Math.min(usual.getAsDouble(), offer.budgetMillis())
                    : unknown.accepts(offer);
        }
    }

    /** Decides on streams as on other requests that can be repeated. */
    record StreamsAsOthers(DrainRule rule) implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            RequestKind kind = offer.kind();
            RequestKind plain = new RequestKind(kind.budgetMillis(), kind.targetMillis(), kind.repeatable(), false);
            return rule.accepts(new DrainOffer(
                    plain, offer.budgetMillis(), offer.leftMillis(), offer.latencies(), offer.readyNodes()));
        }
    }

    /** Rejects everything. */
    record RejectAll() implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            return false;
        }
    }

    /**
     * Decides by one rule while another node is ready, and by a second one while none is, as callers can go nowhere else.
     *
     * @param rule rule while another node is ready
     * @param alone rule while none is
     * @param aloneRetryMillis delay after which rejected callers are asked to come back while none is, ms
     */
    record UnlessAlone(DrainRule rule, DrainRule alone, double aloneRetryMillis) implements DrainRule {
        @Override
        public boolean accepts(DrainOffer offer) {
            return (offer.readyNodes() == 0 ? alone : rule).accepts(offer);
        }

        @Override
        public double retryMillis(int readyNodes) {
            return readyNodes == 0 ? aloneRetryMillis : 0;
        }
    }
}
