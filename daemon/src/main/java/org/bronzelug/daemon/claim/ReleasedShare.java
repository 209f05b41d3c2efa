package org.bronzelug.daemon.claim;

import java.util.Map;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * A rate share (the rates of a group of teams) that this VM has stopped using, for transfer to its
 * successor.
 *
 * @param version the version of the share's object
 * @param holder the holder that the object names
 * @param tokensByTeam the remaining tokens of each team
 */
public record ReleasedShare(
        int group, long version, MemberIdentity holder, Map<String, Double> tokensByTeam) {

    public ReleasedShare {
        tokensByTeam = Map.copyOf(tokensByTeam);
    }
}
