package org.bronzelug.core.retry;

/** Why a request is retried, which decides how much of the retry budget the retry may use. */
public enum RetryKind {
    /** The request is no longer being served by any endpoint. */
    REQUIRED(1),

    /** The request's endpoint would still serve it. */
    OPTIONAL(0.5);

    private final double budgetFraction;

    RetryKind(double budgetFraction) {
        this.budgetFraction = budgetFraction;
    }

    /**
     * Returns the fraction of the budget that the retries of all kinds may have used, including one
     * of this kind.
     */
    double budgetFraction() {
        return budgetFraction;
    }
}
