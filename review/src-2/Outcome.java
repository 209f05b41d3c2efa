import java.util.concurrent.Callable;

/** Ends the process with the status of a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
final class Outcome {
    private static final int COULD_NOT_RUN = 2;

    private Outcome() {}

    static void exit(Callable<Integer> run) {
        int status = COULD_NOT_RUN;
        try {
            status = run.call();
        } catch (Exception failed) {
            failed.printStackTrace();
        }
        System.exit(status);
    }
}
