package org.bronzelug.core.poison;

/** Is notified of parts that are put under quarantine or leave it. */
public interface QuarantineListener {
    /** Called if parts have been put under quarantine; the source says by whose knowledge. */
    void onQuarantined(QuarantinedParts parts, String source);

    /**
     * Called if an endpoint has survived a part of a quarantine, which ends or goes on for the
     * other parts.
     */
    void onReleased(QuarantinedParts before, PartKey survived);
}
