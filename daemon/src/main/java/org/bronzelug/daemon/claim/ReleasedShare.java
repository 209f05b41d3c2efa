package org.bronzelug.daemon.claim;

import java.util.Map;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * A group of teams' rates that its user has stopped using, for an heir.
 *
 * @param version of the share's object
 * @param holder whom the object names
 * @param levels the tokens left, by team
 */
public record ReleasedShare(
        int group, long version, MemberIdentity holder, Map<String, Double> levels) {

    public ReleasedShare {
        levels = Map.copyOf(levels);
    }
}
