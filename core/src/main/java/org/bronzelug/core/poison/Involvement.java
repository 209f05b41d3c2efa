package org.bronzelug.core.poison;

/** How far a request had come when its endpoint crashed. */
public enum Involvement {
    /** The endpoint had just begun to respond. */
    BEGUN,

    /** The endpoint had begun to respond some time ago, but not long enough to have survived it. */
    RESPONDING,

    /** The endpoint had not begun to respond, as far as the VM could see. */
    WAITING;

    /** Time after the begin of a response in which a crash speaks against its parts. */
    static final double BEGUN_SECONDS = 0.5;

    /** How long requests typically wait at an endpoint that has others to work on. */
    static final double WAITING_SECONDS = 2;

    /**
     * Returns how far the first of two requests with the same part had come. A part that crashes
     * endpoints does so when the first request with it begins.
     */
    static Involvement first(Involvement left, Involvement right) {
        if (left == RESPONDING || right == RESPONDING) {
            return RESPONDING;
        }
        return left == BEGUN || right == BEGUN ? BEGUN : WAITING;
    }
}
