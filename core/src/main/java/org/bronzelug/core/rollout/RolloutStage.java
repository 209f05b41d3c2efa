package org.bronzelug.core.rollout;

/** How far the rollout of a software version has come. */
public enum RolloutStage {
    /** The target version gets a limited share of the pool's requests. */
    TRIAL,
    /** All new requests go to the target version; the current one completes its requests. */
    SHIFTING,
    /** The target version replaces the current one. */
    SUCCEEDED,
    /** The target version gets no requests. */
    ROLLED_BACK;

    /** Returns whether the rollout has ended, so that its stage does not change any more. */
    public boolean isTerminal() {
        return this == SUCCEEDED || this == ROLLED_BACK;
    }
}
