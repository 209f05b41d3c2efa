package org.bronzelug.daemon.configuration;

/** The keys of the daemon's objects in the platform's object API (docs/SCHEMA.md "Objects"). */
public final class ObjectKeys {
    /** The key of the roster: the VMs that count for a majority. */
    public static final String ROSTER = "roster";

    public static final String TEAM_PREFIX = "team/";
    public static final String POOL_PREFIX = "pool/";
    public static final String SHARE_PREFIX = "share/";
    public static final String ORDER_PREFIX = "order/";

    private ObjectKeys() {}

    public static String team(String name) {
        return TEAM_PREFIX + name;
    }

    public static String pool(String name) {
        return POOL_PREFIX + name;
    }

    public static String share(int group) {
        return SHARE_PREFIX + group;
    }

    public static String order(String pool) {
        return ORDER_PREFIX + pool;
    }
}
