package org.bronzelug.daemon.configuration;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bronzelug.api.KeyEntry;
import org.bronzelug.api.OrderObject;
import org.bronzelug.api.PoolObject;
import org.bronzelug.api.RosterEntry;
import org.bronzelug.api.RosterObject;
import org.bronzelug.api.ShareObject;
import org.bronzelug.api.TeamObject;
import org.bronzelug.core.configuration.ConfigurationState;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.core.limit.TeamRate;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The configuration, parsed: teams, keys, pools, roster and claims.
 *
 * <p>Immutable, so traffic threads read it without a lock; a changed configuration gets a new
 * catalog.
 */
public final class Catalog {
    private final Map<KeyDigest, String> teamsByKey = new HashMap<>();
    private final Map<String, TeamRate> rates = new TreeMap<>();
    private final Map<String, PoolObject> pools = new TreeMap<>();
    private final Map<String, RosterEntry> roster = new TreeMap<>();
    private final Map<Integer, Claim> shares = new TreeMap<>();
    private final Map<String, Claim> orders = new TreeMap<>();

    /** A committed claim: its holder, and the version of its object. */
    public record Claim(long version, MemberIdentity holder) {}

    private Catalog() {}

    /**
     * Returns the catalog of a configuration. Objects that cannot be parsed are logged and omitted.
     */
    public static Catalog of(ConfigurationState state) {
        Catalog catalog = new Catalog();
        for (VersionedObject object : state.objects()) {
            try {
                catalog.add(object);
            } catch (InvalidProtocolBufferException unreadable) {
                EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, "object " + object);
            }
        }
        return catalog;
    }

    private void add(VersionedObject object) throws InvalidProtocolBufferException {
        String key = object.key();
        if (key.startsWith(ObjectKeys.TEAM_PREFIX)) {
            addTeam(TeamObject.parseFrom(object.value()));
        } else if (key.startsWith(ObjectKeys.POOL_PREFIX)) {
            PoolObject pool = PoolObject.parseFrom(object.value());
            pools.put(pool.getPool(), pool);
        } else if (key.startsWith(ObjectKeys.SHARE_PREFIX)) {
            ShareObject share = ShareObject.parseFrom(object.value());
            MemberIdentity holder = new MemberIdentity(share.getVm(), share.getIncarnation());
            shares.put(share.getGroup(), new Claim(object.version(), holder));
        } else if (key.startsWith(ObjectKeys.ORDER_PREFIX)) {
            OrderObject order = OrderObject.parseFrom(object.value());
            MemberIdentity holder = new MemberIdentity(order.getVm(), order.getIncarnation());
            orders.put(order.getPool(), new Claim(object.version(), holder));
        } else if (key.equals(ObjectKeys.ROSTER)) {
            RosterObject.parseFrom(object.value())
                    .getVmsList()
                    .forEach(entry -> roster.put(entry.getVm(), entry));
        }
    }

    private void addTeam(TeamObject team) {
        rates.put(team.getTeam(), new TeamRate(team.getTokensPerSecond(), team.getBurstTokens()));
        for (KeyEntry key : team.getKeysList()) {
            if (!key.getWithdrawn()) {
                teamsByKey.put(KeyDigest.ofBytes(key.getDigest().toByteArray()), team.getTeam());
            }
        }
    }

    /** Returns the team of a key; empty if the key is unknown or withdrawn. */
    public Optional<String> teamOf(KeyDigest key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    public Map<String, TeamRate> rates() {
        return Collections.unmodifiableMap(rates);
    }

    public Optional<TeamRate> rate(String team) {
        return Optional.ofNullable(rates.get(team));
    }

    public Optional<PoolObject> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    public Iterable<PoolObject> pools() {
        return pools.values();
    }

    /** Returns the pool whose runners serve a model. */
    public Optional<PoolObject> poolOfModel(String model) {
        return pools.values().stream()
                .filter(pool -> !model.isEmpty() && pool.getModel().equals(model))
                .findFirst();
    }

    public Map<String, RosterEntry> roster() {
        return Collections.unmodifiableMap(roster);
    }

    public Optional<Claim> share(int group) {
        return Optional.ofNullable(shares.get(group));
    }

    public Optional<Claim> order(String pool) {
        return Optional.ofNullable(orders.get(pool));
    }
}
