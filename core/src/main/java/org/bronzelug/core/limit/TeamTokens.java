package org.bronzelug.core.limit;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A team's tokens on the VM that holds its rate. If the previous holder did not transfer the tokens
 * it had left, a second bucket counts the most that may be left. It is dropped once the first would
 * be full without requests, since by then only the team's own requests can have emptied that.
 *
 * <p>Invariant: a request is granted only tokens that are certainly left. Requests for which only
 * the second bucket has enough may be within the rate; together they take no more than it has.
 *
 * <p>Not thread-safe: guarded by its owner.
 */
final class TeamTokens {
    private final TokenBucket certain;

    /** When the level has become known; empty if tokens never accrue. */
    private final OptionalLong knownNanos;

    private Optional<TokenBucket> possible;

    private TeamTokens(
            TokenBucket certain, Optional<TokenBucket> possible, OptionalLong knownNanos) {
        this.certain = certain;
        this.possible = possible;
        this.knownNanos = knownNanos;
    }

    /** Returns the tokens of a team of which a known number is left. */
    static TeamTokens known(TeamRate rate, double level, long nowNanos) {
        return new TeamTokens(
                bucket(rate, level, nowNanos), Optional.empty(), OptionalLong.empty());
    }

    /** Returns the tokens of a team whose previous holder did not transfer them. */
    static TeamTokens unknown(TeamRate rate, long nowNanos) {
        TokenBucket empty = bucket(rate, 0, nowNanos);
        TokenBucket full = bucket(rate, rate.burstTokens(), nowNanos);
        long fillNanos = empty.nanosUntil(rate.burstTokens(), nowNanos);
        return new TeamTokens(
                empty,
                Optional.of(full),
                fillNanos < 0 ? OptionalLong.empty() : OptionalLong.of(nowNanos + fillNanos));
    }

    private static TokenBucket bucket(TeamRate rate, double level, long nowNanos) {
        return new TokenBucket(rate.tokensPerSecond(), rate.burstTokens(), level, nowNanos);
    }

    /** Reserves the whole amount or nothing; see {@link TokenBucket#reserve}. */
    Admission reserve(String id, double amount, long nowNanos) {
        if (knownNanos.isPresent() && nowNanos - knownNanos.getAsLong() >= 0) {
            possible = Optional.empty();
        }
        boolean granted = certain.reserve(id, amount, nowNanos);
        boolean possiblyLeft =
                possible.map(bucket -> bucket.reserve(id, amount, nowNanos)).orElse(false);
        return granted
                ? new Admission.Granted()
                : new Admission.OverRate(certain.nanosUntil(amount, nowNanos), possiblyLeft);
    }

    /** Settles a reservation, or gives it up if it was not granted and nothing was used. */
    void settle(String id, double used, long nowNanos) {
        certain.settle(id, used, nowNanos);
        possible.ifPresent(bucket -> bucket.settle(id, used, nowNanos));
    }

    /** Changes the rate; see {@link TokenBucket#change}. */
    void change(TeamRate rate, long nowNanos) {
        certain.change(rate.tokensPerSecond(), rate.burstTokens(), nowNanos);
        possible.ifPresent(
                bucket -> bucket.change(rate.tokensPerSecond(), rate.burstTokens(), nowNanos));
    }

    /** Returns the tokens that are certainly left. */
    double tokens(long nowNanos) {
        return certain.tokens(nowNanos);
    }
}
