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
 * A call to one VM that is cancelled if the VM stops responding.
 *
 * <p>If a VM freezes, or the network drops all packets to it, the connection stays open and the
 * caller would wait in vain. So a watch thread probes the VM with a small call whenever the watched
 * call has received nothing for {@link #PROBE_MILLIS}, and cancels the watched call after {@link
 * #FAILED_PROBE_LIMIT} consecutive probes without a response. A VM that is only slow, because its
 * runners are busy, responds to the probe, if only with an error, and the call continues.
 *
 * <p>Confined to one thread, except for the internal watch thread.
 */
final class WatchedCall {
    static final long PROBE_MILLIS = 1_000;
    static final int FAILED_PROBE_LIMIT = 2;

    private final RouterGrpc.RouterBlockingStub stub;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile long receivedNanos = System.nanoTime();

    WatchedCall(RouterGrpc.RouterBlockingStub stub) {
        this.stub = stub;
    }

    /** Records that the call received an event from the VM. */
    void recordEvent() {
        receivedNanos = System.nanoTime();
    }

    /**
     * Makes the call and returns its result.
     *
     * @throws StatusRuntimeException if the call throws it; with status CANCELLED if the VM stopped
     *     responding
     */
    <T> T run(Supplier<T> call) {
        Context.CancellableContext context = Context.current().withCancellation();
        Thread watch = Thread.ofVirtual().start(() -> watch(context));
        Context previous = context.attach();
        try {
            return call.get();
        } finally {
            context.detach(previous);
            ended.countDown();
            watch.interrupt();
            context.cancel(null);
        }
    }

    private void watch(Context.CancellableContext context) {
        int failedProbes = 0;
        try {
            while (!ended.await(PROBE_MILLIS, TimeUnit.MILLISECONDS)) {
                long silentNanos = System.nanoTime() - receivedNanos;
                if (silentNanos < TimeUnit.MILLISECONDS.toNanos(PROBE_MILLIS)
                        || respondsToProbe()) {
                    failedProbes = 0;
                } else if (++failedProbes >= FAILED_PROBE_LIMIT) {
                    context.cancel(new SilentVmException());
                    return;
                }
            }
        } catch (InterruptedException callEnded) {
            // The call has ended, so there is nothing left to watch.
            return;
        }
    }

    private boolean respondsToProbe() {
        try {
            stub.withDeadlineAfter(PROBE_MILLIS, TimeUnit.MILLISECONDS)
                    .locate(LocateRequest.getDefaultInstance());
            return true;
        } catch (StatusRuntimeException failed) {
            Status.Code code = failed.getStatus().getCode();
            return code != Status.Code.DEADLINE_EXCEEDED && code != Status.Code.UNAVAILABLE;
        }
    }

    /** The cause of the cancellation of a call to a VM that stopped responding. */
    private static final class SilentVmException extends Exception {
        private static final long serialVersionUID = 1;

        SilentVmException() {
            super("the VM stopped responding");
        }
    }
}
