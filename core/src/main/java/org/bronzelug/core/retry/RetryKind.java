package org.bronzelug.core.retry;

/** Why a request is sent again: it decides how much of the retry budget may be used. */
public enum RetryKind {
    /** No endpoint serves the request any more. */
    REQUIRED(1),

    /** Its endpoint would still serve it. */
    BY_CHOICE(0.5);

    private final double budgetPart;

    RetryKind(double budgetPart) {
        this.budgetPart = budgetPart;
    }

    /** The part of the budget that all repeats may have used with one of this kind. */
    double budgetPart() {
        return budgetPart;
    }
}
