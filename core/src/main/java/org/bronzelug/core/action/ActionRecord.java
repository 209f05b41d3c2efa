package org.bronzelug.core.action;

import java.util.Optional;

/**
 * What the ledger keeps of one call.
 *
 * @param id the call's id
 * @param team whose key came with it
 * @param bodyDigest of pool, method and body
 * @param outcome empty while it runs
 */
public record ActionRecord(
        ActionId id, String team, String bodyDigest, Optional<ActionOutcome> outcome) {

    /** Whether the arrival is the same call: an id is bound to its team and body. */
    public boolean matches(String otherTeam, String otherDigest) {
        return team.equals(otherTeam) && bodyDigest.equals(otherDigest);
    }
}
