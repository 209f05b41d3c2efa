package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.bronzelug.core.limit.PeerBucketUsage;
import org.bronzelug.core.routing.IngressLimits;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.core.routing.Team;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against VMs that send all others the unchanged usage of a team near its limit, and against
 * use of the slack where the installation or its endpoints do not call for it.
 */
class TeamRatesTest {
    private static final Team TEAM = new Team("team", OptionalInt.empty(), 1_000, 1_000, 1, false);
    private static final long PEER_ADMITTED = 900;

    private static TrafficUpdate update(List<PeerTeamUsage> peers) {
        RoutingConfiguration configuration =
                new RoutingConfiguration(
                        1,
                        IngressLimits.defaults(),
                        List.of(),
                        Map.of(),
                        List.of(),
                        List.of(TEAM),
                        Map.of());
        return new TrafficUpdate(
                Optional.of(configuration),
                Map.of(),
                true,
                Map.of(),
                Map.of(),
                peers,
                List.of(),
                List.of(),
                Set.of(),
                Map.of(),
                1,
                2,
                List.of(),
                900_000_000L,
                Set.of());
    }

    @Test
    void unchangedUsageOfAContendedTeamIsReportedTwice() {
        TeamRates rates = new TeamRates(true, 0);
        long nowNanos = System.nanoTime();
        rates.update(update(List.of()), false, nowNanos);
        assertThat(rates.tryAcquire(TEAM, 900, nowNanos)).isTrue();
        assertThat(rates.contended(nowNanos)).containsExactly("team");
        assertThat(rates.contended(nowNanos)).containsExactly("team");
        assertThat(rates.contended(nowNanos)).isEmpty();
        assertThat(rates.tryAcquire(TEAM, 900, nowNanos)).isFalse();
        assertThat(rates.contended(nowNanos)).containsExactly("team");
    }

    @ParameterizedTest
    @CsvSource({"0, false, false", "0, true, false", "1000, false, false", "1000, true, true"})
    void slackIsUsedOnlyWhereItIsStatedAndAPoolIsAdaptive(
            double slackTokens, boolean adaptive, boolean admits) {
        TeamRates rates = new TeamRates(true, slackTokens);
        PeerBucketUsage used =
                new PeerBucketUsage("vm-2", "first", PEER_ADMITTED, PEER_ADMITTED, 100, true);
        long nowNanos = System.nanoTime();
        rates.update(update(List.of(new PeerTeamUsage("team", used))), adaptive, nowNanos);
        assertThat(rates.tryAcquire(TEAM, 400, nowNanos)).isEqualTo(admits);
    }
}
