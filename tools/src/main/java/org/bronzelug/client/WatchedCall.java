package org.bronzelug.client;

import io.grpc.Context;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bronzelug.api.LocateRequest;
import org.bronzelug.api.RouterGrpc;

/**
 * One call at one VM, broken off where the VM falls silent.
 *
 * <p>The failure: a VM freezes, or the network to it drops everything; no connection breaks, and
 * the caller waits for nothing. While nothing comes, the VM is asked something small beside the
 * call; {@link #VAIN_QUESTIONS} questions in vain in a row end the call. A VM that is merely slow
 * (its runners are busy) answers the question, whatever the answer is, and the call goes on.
 *
 * <p>Used by one thread; its own watch runs beside.
 */
final class WatchedCall {
    static final long QUESTION_MILLIS = 1_000;
    static final int VAIN_QUESTIONS = 2;

    private final RouterGrpc.RouterBlockingStub stub;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile long receivedNanos = System.nanoTime();

    WatchedCall(RouterGrpc.RouterBlockingStub stub) {
        this.stub = stub;
    }

    /** Says that something came. */
    void heard() {
        receivedNanos = System.nanoTime();
    }

    /**
     * Makes the call and returns its result.
     *
     * @throws StatusRuntimeException as the call does; of status CANCELLED where the VM fell silent
     */
    <T> T run(Supplier<T> call) {
        Context.CancellableContext context = Context.current().withCancellation();
        Thread watch = Thread.ofVirtual().start(() -> watch(context));
        Context before = context.attach();
        try {
            return call.get();
        } finally {
            context.detach(before);
            ended.countDown();
            watch.interrupt();
            context.cancel(null);
        }
    }

    private void watch(Context.CancellableContext context) {
        int inVain = 0;
        try {
            while (!ended.await(QUESTION_MILLIS, TimeUnit.MILLISECONDS)) {
                long silentNanos = System.nanoTime() - receivedNanos;
                if (silentNanos < TimeUnit.MILLISECONDS.toNanos(QUESTION_MILLIS) || answers()) {
                    inVain = 0;
                } else if (++inVain >= VAIN_QUESTIONS) {
                    context.cancel(new ClientSilenceException());
                    return;
                }
            }
        } catch (InterruptedException callEnded) {
            // Nothing is left to watch.
            return;
        }
    }

    private boolean answers() {
        try {
            stub.withDeadlineAfter(QUESTION_MILLIS, TimeUnit.MILLISECONDS)
                    .locate(LocateRequest.getDefaultInstance());
            return true;
        } catch (StatusRuntimeException refused) {
            Status.Code code = refused.getStatus().getCode();
            return code != Status.Code.DEADLINE_EXCEEDED && code != Status.Code.UNAVAILABLE;
        }
    }

    /** The cause that a broken-off call carries. */
    private static final class ClientSilenceException extends Exception {
        private static final long serialVersionUID = 1;

        ClientSilenceException() {
            super("the VM fell silent");
        }
    }
}
