package org.bronzelug.daemon.configuration;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.bronzelug.api.AuditEntry;
import org.bronzelug.api.PoolObject;
import org.bronzelug.api.RosterObject;
import org.bronzelug.api.TeamObject;

/**
 * The audit entries inside the configuration objects.
 *
 * <p>Invariant: a change and its audit entry are written as one value, so there is no change
 * without its entry. An object keeps only its newest entries. Stateless and thread-safe.
 */
public final class AuditTrail {
    /**
     * The maximum number of entries in an object. Objects must stay far below the platform's limit
     * of one megabyte.
     */
    public static final int MAXIMUM_ENTRIES = 50;

    private AuditTrail() {}

    public static void append(TeamObject.Builder team, AuditEntry entry) {
        if (team.getAuditCount() >= MAXIMUM_ENTRIES) {
            team.removeAudit(0);
        }
        team.addAudit(entry);
    }

    public static void append(PoolObject.Builder pool, AuditEntry entry) {
        if (pool.getAuditCount() >= MAXIMUM_ENTRIES) {
            pool.removeAudit(0);
        }
        pool.addAudit(entry);
    }

    public static void append(RosterObject.Builder roster, AuditEntry entry) {
        if (roster.getAuditCount() >= MAXIMUM_ENTRIES) {
            roster.removeAudit(0);
        }
        roster.addAudit(entry);
    }

    /** Returns the audit entries of a configuration object; empty for objects without any. */
    public static List<AuditEntry> entries(String key, byte[] value)
            throws InvalidProtocolBufferException {
        if (key.startsWith(ObjectKeys.TEAM_PREFIX)) {
            return TeamObject.parseFrom(value).getAuditList();
        }
        if (key.startsWith(ObjectKeys.POOL_PREFIX)) {
            return PoolObject.parseFrom(value).getAuditList();
        }
        return key.equals(ObjectKeys.ROSTER)
                ? RosterObject.parseFrom(value).getAuditList()
                : List.of();
    }

    /** Returns whether a value contains the audit entry that carries a write's mark. */
    public static boolean hasMark(String key, byte[] value, String mark) {
        try {
            return entries(key, value).stream().anyMatch(entry -> entry.getMark().equals(mark));
        } catch (InvalidProtocolBufferException unreadable) {
            return false;
        }
    }

    public static boolean rosterHasMark(byte[] value, String mark) {
        return hasMark(ObjectKeys.ROSTER, value, mark);
    }
}
