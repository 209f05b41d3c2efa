package org.bronzelug.router.ingress;

/** Hears of the caller of one request, on the traffic thread. */
public interface CallerListener {
    /** The caller has closed its connection before the answer was whole. */
    void onCallerClosed();

    /** Whether the caller takes more of the answer now. */
    void onWritable(boolean writable);
}
