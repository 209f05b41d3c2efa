package org.bronzelug.core.rollout;

/** Which of a pool's endpoints a request may be sent to, by their software version. */
public enum VersionPreference {
    /** Any endpoint. */
    ANY,
    /** Only endpoints that do not have the target version, even if none of them is available. */
    CURRENT_ONLY,
    /** An endpoint of the target version if one is available, else any other. */
    TARGET_FIRST
}
