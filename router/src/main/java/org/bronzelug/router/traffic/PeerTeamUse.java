package org.bronzelug.router.traffic;

/**
 * What a peer says of a team's rate.
 *
 * @param vm the peer
 * @param incarnation of the peer
 * @param team the team's name
 * @param admittedTokens since the incarnation started
 * @param levelTokens what is left of the burst, as the peer reckons
 * @param startedWithThis whether the peer has not run for longer than this VM
 */
public record PeerTeamUse(
        String vm,
        String incarnation,
        String team,
        long admittedTokens,
        long levelTokens,
        boolean startedWithThis) {}
