package org.bronzelug.router.ingress;

/** Receives the events of the caller's connection during one request, on the traffic thread. */
public interface CallerListener {
    /** Called when the caller closes its connection before the response is complete. */
    void onCallerClosed();

    /**
     * Called when backpressure from the caller changes.
     *
     * @param writable whether more of the response can be written now
     */
    void onWritable(boolean writable);

    /**
     * Called when the VM ends before the response is complete. Completes it if no part of it was
     * sent.
     */
    void onShutdown();
}
