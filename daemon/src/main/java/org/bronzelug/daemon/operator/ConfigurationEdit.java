package org.bronzelug.daemon.operator;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.SecureRandom;
import java.util.Optional;
import org.bronzelug.api.AuditEntry;
import org.bronzelug.api.ChangeRequest;
import org.bronzelug.api.EndpointEntry;
import org.bronzelug.api.JoinEndpoint;
import org.bronzelug.api.KeyEntry;
import org.bronzelug.api.LeaveEndpoint;
import org.bronzelug.api.OrderWeights;
import org.bronzelug.api.PoolObject;
import org.bronzelug.api.RosterObject;
import org.bronzelug.api.SetPool;
import org.bronzelug.api.SetTeam;
import org.bronzelug.api.TeamObject;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.daemon.configuration.AuditTrail;
import org.bronzelug.daemon.configuration.ObjectKeys;
import org.bronzelug.daemon.generate.ProblemCode;
import org.bronzelug.daemon.generate.RejectionException;

/**
 * One change of the configuration, as an edit of the one object that it changes.
 *
 * <p>After a version conflict the edit is applied again, to the new version. Immutable except for
 * the issued key. Not thread-safe.
 */
final class ConfigurationEdit {
    private static final int MAXIMUM_NAME = 63;

    private final ChangeRequest request;
    private final SecureRandom random;
    private Optional<String> issuedKey = Optional.empty();

    ConfigurationEdit(ChangeRequest request, SecureRandom random) {
        this.request = request;
        this.random = random;
    }

    /** Returns the key that the last {@link #apply} issued. It is shown to the operator once. */
    Optional<String> issuedKey() {
        return issuedKey;
    }

    /** Returns the key of the object that the change edits. */
    String objectKey() throws RejectionException {
        return switch (request.getChangeCase()) {
            case SET_TEAM -> ObjectKeys.team(name(request.getSetTeam().getTeam()));
            case ISSUE_KEY -> ObjectKeys.team(name(request.getIssueKey().getTeam()));
            case WITHDRAW_KEY -> ObjectKeys.team(name(request.getWithdrawKey().getTeam()));
            case SET_POOL -> ObjectKeys.pool(name(request.getSetPool().getPool()));
            case JOIN_ENDPOINT -> ObjectKeys.pool(name(request.getJoinEndpoint().getPool()));
            case LEAVE_ENDPOINT -> ObjectKeys.pool(name(request.getLeaveEndpoint().getPool()));
            case ORDER_WEIGHTS -> ObjectKeys.pool(name(request.getOrderWeights().getPool()));
            case REMOVE_VM -> ObjectKeys.ROSTER;
            case CHANGE_NOT_SET -> throw badRequest("no change in the request", "name one change");
        };
    }

    /**
     * Applies the change to an object.
     *
     * @param current the object's value; empty if the object does not exist
     * @param audit the audit entry to append to the object
     * @return the new value of the object
     */
    byte[] apply(Optional<byte[]> current, AuditEntry audit) throws RejectionException {
        try {
            String key = objectKey();
            if (key.equals(ObjectKeys.ROSTER)) {
                return editRoster(require(current), audit);
            }
            return key.startsWith(ObjectKeys.TEAM_PREFIX)
                    ? editTeam(current, audit)
                    : editPool(current, audit);
        } catch (InvalidProtocolBufferException unreadable) {
            throw badRequest(
                    "the object can't be read: " + unreadable.getMessage(), "see event 203");
        }
    }

    private byte[] editTeam(Optional<byte[]> current, AuditEntry audit)
            throws RejectionException, InvalidProtocolBufferException {
        boolean mayCreate = request.hasSetTeam();
        TeamObject.Builder team =
                mayCreate && current.isEmpty()
                        ? TeamObject.newBuilder()
                        : TeamObject.parseFrom(require(current)).toBuilder();
        switch (request.getChangeCase()) {
            case SET_TEAM -> setTeam(team, request.getSetTeam());
            case ISSUE_KEY -> issueKey(team, name(request.getIssueKey().getKeyName()));
            default -> withdrawKey(team, request.getWithdrawKey().getKeyName());
        }
        AuditTrail.append(team, audit);
        return team.build().toByteArray();
    }

    private static void setTeam(TeamObject.Builder team, SetTeam change) throws RejectionException {
        boolean valid = change.getTokensPerSecond() >= 0 && change.getBurstTokens() > 0;
        if (!valid) {
            throw badRequest(
                    "met a negative rate or no burst", "give a rate of 0 or more and a burst");
        }
        team.setTeam(change.getTeam())
                .setTokensPerSecond(change.getTokensPerSecond())
                .setBurstTokens(change.getBurstTokens());
    }

    private void issueKey(TeamObject.Builder team, String keyName) throws RejectionException {
        if (team.getKeysList().stream().anyMatch(key -> key.getName().equals(keyName))) {
            throw badRequest("the team has a key named " + keyName, "choose another name");
        }
        String key = KeyDigest.newKey(random);
        issuedKey = Optional.of(key);
        team.addKeys(
                KeyEntry.newBuilder()
                        .setName(keyName)
                        .setDigest(ByteString.copyFrom(KeyDigest.of(key).bytes())));
    }

    private static void withdrawKey(TeamObject.Builder team, String keyName)
            throws RejectionException {
        for (int index = 0; index < team.getKeysCount(); index++) {
            if (team.getKeys(index).getName().equals(keyName)) {
                team.setKeys(index, team.getKeys(index).toBuilder().setWithdrawn(true));
                return;
            }
        }
        throw notFound("key " + keyName);
    }

    private byte[] editPool(Optional<byte[]> current, AuditEntry audit)
            throws RejectionException, InvalidProtocolBufferException {
        boolean mayCreate = request.hasSetPool();
        PoolObject.Builder pool =
                mayCreate && current.isEmpty()
                        ? PoolObject.newBuilder()
                        : PoolObject.parseFrom(require(current)).toBuilder();
        switch (request.getChangeCase()) {
            case SET_POOL -> setPool(pool, request.getSetPool());
            case JOIN_ENDPOINT -> joinEndpoint(pool, request.getJoinEndpoint());
            case LEAVE_ENDPOINT -> leaveEndpoint(pool, request.getLeaveEndpoint());
            default -> orderWeights(pool, request.getOrderWeights());
        }
        AuditTrail.append(pool, audit);
        return pool.build().toByteArray();
    }

    private static void setPool(PoolObject.Builder pool, SetPool change) {
        pool.setPool(change.getPool())
                .setKind(change.getKind())
                .setModel(change.getModel())
                .setWeightsVersion(Math.max(1, change.getWeightsVersion()))
                .setConcurrentLoads(Math.max(1, change.getConcurrentLoads()))
                .setDeduplicates(change.getDeduplicates())
                .setChecksFencing(change.getChecksFencing());
    }

    private static void joinEndpoint(PoolObject.Builder pool, JoinEndpoint change)
            throws RejectionException {
        if (!change.getUrl().matches("https?://[0-9.\\[\\]a-fA-F:]+")) {
            throw badRequest(
                    "met the URL " + change.getUrl(), "give http://IP:port, with no host name");
        }
        EndpointEntry entry =
                EndpointEntry.newBuilder()
                        .setEndpoint(name(change.getEndpoint()))
                        .setUrl(change.getUrl())
                        .build();
        replaceEndpoint(pool, entry);
    }

    private static void leaveEndpoint(PoolObject.Builder pool, LeaveEndpoint change)
            throws RejectionException {
        Optional<EndpointEntry> current =
                pool.getEndpointsList().stream()
                        .filter(entry -> entry.getEndpoint().equals(change.getEndpoint()))
                        .findFirst();
        if (current.isEmpty()) {
            throw notFound("endpoint " + change.getEndpoint());
        }
        EndpointEntry leaving = current.get().toBuilder().setLeaving(true).build();
        replaceEndpoint(pool, leaving);
    }

    private static void replaceEndpoint(PoolObject.Builder pool, EndpointEntry newEntry) {
        var otherEntries =
                pool.getEndpointsList().stream()
                        .filter(entry -> !entry.getEndpoint().equals(newEntry.getEndpoint()))
                        .toList();
        pool.clearEndpoints().addAllEndpoints(otherEntries).addEndpoints(newEntry);
    }

    private static void orderWeights(PoolObject.Builder pool, OrderWeights change)
            throws RejectionException {
        if (change.getWeightsVersion() <= 0) {
            throw badRequest("met no weights version", "give a version above 0");
        }
        pool.setWeightsVersion(change.getWeightsVersion());
    }

    private byte[] editRoster(byte[] current, AuditEntry audit)
            throws RejectionException, InvalidProtocolBufferException {
        RosterObject.Builder roster = RosterObject.parseFrom(current).toBuilder();
        String vm = request.getRemoveVm().getVm();
        var otherEntries =
                roster.getVmsList().stream().filter(entry -> !entry.getVm().equals(vm)).toList();
        if (otherEntries.size() == roster.getVmsCount()) {
            throw notFound("VM " + vm);
        }
        roster.clearVms().addAllVms(otherEntries);
        AuditTrail.append(roster, audit);
        return roster.build().toByteArray();
    }

    private static byte[] require(Optional<byte[]> current) throws RejectionException {
        if (current.isEmpty()) {
            throw notFound("object");
        }
        return current.get();
    }

    private static String name(String name) throws RejectionException {
        if (name.length() > MAXIMUM_NAME || !name.matches("[a-z0-9][a-z0-9-]*")) {
            throw badRequest("met the name \"" + name + "\"", "use a-z, 0-9 and -, at most 63");
        }
        return name;
    }

    private static RejectionException badRequest(String message, String remedy) {
        return RejectionException.notRun(ProblemCode.BAD_REQUEST, message, remedy, 0);
    }

    private static RejectionException notFound(String missing) {
        return RejectionException.notRun(
                ProblemCode.NOT_FOUND, "there is no such " + missing, "see `bronzelug status`", 0);
    }
}
