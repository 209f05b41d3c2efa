package org.bronzelug.core.action;

import java.util.Optional;

/**
 * The ledger's record of one call.
 *
 * @param id of the call
 * @param team whose key authenticated the call
 * @param bodyDigest digest of pool, method and body
 * @param outcome empty while the call runs
 */
public record ActionRecord(
        ActionId id, String team, String bodyDigest, Optional<ActionOutcome> outcome) {

    /** Returns whether an arrival is the same call: an id is bound to its team and body. */
    public boolean matches(String otherTeam, String otherDigest) {
        return team.equals(otherTeam) && bodyDigest.equals(otherDigest);
    }
}
