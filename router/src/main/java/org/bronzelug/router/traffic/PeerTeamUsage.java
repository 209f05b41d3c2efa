package org.bronzelug.router.traffic;

import org.bronzelug.core.limit.PeerBucketUsage;

/**
 * What a peer says of a team's rate. Immutable.
 *
 * @param team the team's name
 * @param count of the peer
 */
public record PeerTeamUsage(String team, PeerBucketUsage count) {}
