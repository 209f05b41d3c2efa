package org.bronzelug.router.traffic;

import org.bronzelug.core.limit.PeerBucketUsage;

/**
 * A peer's report of what it admitted for a team. Immutable.
 *
 * @param team the team's name
 * @param usage the peer's usage of the team's rate
 */
public record PeerTeamUsage(String team, PeerBucketUsage usage) {}
