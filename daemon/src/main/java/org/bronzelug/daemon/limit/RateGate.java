package org.bronzelug.daemon.limit;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.peer.Acknowledged;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.Reserve;
import org.bronzelug.api.peer.Reserved;
import org.bronzelug.api.peer.Settle;
import org.bronzelug.core.limit.Admission;
import org.bronzelug.core.limit.RateShares;
import org.bronzelug.core.limit.TeamRate;
import org.bronzelug.daemon.configuration.Catalog;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.ControlView;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.kernel.Pause;

/**
 * Reserves tokens of a team's rate for requests, on this VM or on the VM that holds the team's rate
 * share (a group of teams' rates that one VM at a time admits from).
 *
 * <p>While a share moves to another VM, a request waits for the new holder, since it may be within
 * the team's rate. For the same reason it waits for tokens if the new holder does not know how many
 * are left. The wait ends at the request's deadline, or when this VM has become stale and may no
 * longer serve the request. A request beyond the rate, or whose tokens accrue only after its
 * deadline, is rejected immediately. Each reservation has an id, so a retry after a lost answer
 * does not take tokens twice.
 *
 * <p>Blocking; called on traffic threads. Thread-safe.
 */
@Singleton
public final class RateGate {
    private static final long EXCHANGE_TIMEOUT_MILLIS = 300;
    private static final long RETRY_DELAY_MILLIS = 50;

    private final ControlThread control;
    private final ControlState state;
    private final PeerNetwork peers;

    @Inject
    public RateGate(ControlThread control, ControlState state, PeerNetwork peers) {
        this.control = control;
        this.state = state;
        this.peers = peers;
        peers.setHandler(Envelope.BodyCase.RESERVE, this::handleReserve);
        peers.setHandler(Envelope.BodyCase.SETTLE, this::handleSettle);
    }

    /**
     * Reserves tokens for a request; waits while the share moves or the tokens left are unknown, at
     * most until the deadline and while this VM is fresh.
     */
    public Admission reserve(String id, String team, double tokens, long deadlineNanos) {
        while (true) {
            Admission admission = tryReserve(id, team, tokens);
            long nowNanos = System.nanoTime();
            if (!mayWait(admission, deadlineNanos - nowNanos) || !state.view().isFresh(nowNanos)) {
                if (isSetAside(admission)) {
                    settle(id, team, 0);
                }
                return admission;
            }
            Pause.millis(RETRY_DELAY_MILLIS);
        }
    }

    private static boolean mayWait(Admission admission, long remainingNanos) {
        return switch (admission) {
            case Admission.Granted granted -> false;
            case Admission.OverRate over ->
                    over.mayBeWithinRate()
                            && over.retryAfterNanos() >= 0
                            && over.retryAfterNanos() < remainingNanos;
            case Admission.NotHeld notHeld -> remainingNanos > 0;
        };
    }

    private static boolean isSetAside(Admission admission) {
        return admission instanceof Admission.OverRate over && over.mayBeWithinRate();
    }

    private Admission tryReserve(String id, String team, double tokens) {
        Optional<String> address = addressOfHolder(team);
        if (address.isEmpty()) {
            return control.submit(() -> reserveLocally(id, team, tokens)).join();
        }
        Reserve reserve = Reserve.newBuilder().setId(id).setTeam(team).setTokens(tokens).build();
        return peers.exchange(
                        address.get(),
                        Envelope.newBuilder().setReserve(reserve),
                        EXCHANGE_TIMEOUT_MILLIS)
                .handle(
                        (envelope, failure) ->
                                failure == null
                                        ? toAdmission(envelope.getReserved())
                                        : new Admission.NotHeld(retryNanos()))
                .join();
    }

    /**
     * Returns the peer address of the VM that admits from a team's share. Empty if that is this VM,
     * as the share's holder or the holder's successor, or if no VM holds the share.
     */
    private Optional<String> addressOfHolder(String team) {
        ControlView view = state.view();
        return view.catalog()
                .share(RateShares.groupOf(team))
                .map(Catalog.Claim::holder)
                .flatMap(view::addressOf);
    }

    private Admission reserveLocally(String id, String team, double tokens) {
        long now = System.nanoTime();
        Optional<TeamRate> rate = state.catalog().rate(team);
        if (rate.isEmpty()) {
            return new Admission.NotHeld(retryNanos());
        }
        boolean fresh = state.freshness().isFresh(now);
        return state.shares().reserve(id, team, rate.get(), tokens, now, fresh);
    }

    /**
     * Ends a reservation at the number of tokens used. If the message is lost, the team loses the
     * unused rest of the reservation, and never gains tokens.
     */
    public void settle(String id, String team, double used) {
        Optional<String> address = addressOfHolder(team);
        if (address.isEmpty()) {
            control.run(() -> state.shares().settle(id, team, used, System.nanoTime()));
            return;
        }
        Settle settle = Settle.newBuilder().setId(id).setTeam(team).setUsed(used).build();
        CompletableFuture<Envelope> exchange =
                peers.exchange(
                        address.get(),
                        Envelope.newBuilder().setSettle(settle),
                        EXCHANGE_TIMEOUT_MILLIS);
        exchange.exceptionally(failure -> null);
    }

    private CompletableFuture<Envelope.Builder> handleReserve(Envelope request) {
        Reserve reserve = request.getReserve();
        return control.submit(
                () -> {
                    Admission admission =
                            reserveLocally(reserve.getId(), reserve.getTeam(), reserve.getTokens());
                    return Envelope.newBuilder().setReserved(toMessage(admission));
                });
    }

    private CompletableFuture<Envelope.Builder> handleSettle(Envelope request) {
        Settle settle = request.getSettle();
        return control.submit(
                () -> {
                    state.shares()
                            .settle(
                                    settle.getId(),
                                    settle.getTeam(),
                                    settle.getUsed(),
                                    System.nanoTime());
                    return Envelope.newBuilder().setAcknowledged(Acknowledged.getDefaultInstance());
                });
    }

    private static Reserved toMessage(Admission admission) {
        Reserved.Builder message = Reserved.newBuilder();
        switch (admission) {
            case Admission.Granted granted -> message.setResult(Reserved.Result.GRANTED);
            case Admission.OverRate over ->
                    message.setResult(Reserved.Result.OVER_RATE)
                            .setRetryAfterMs(toMillis(over.retryAfterNanos()))
                            .setMayBeWithinRate(over.mayBeWithinRate());
            case Admission.NotHeld notHeld ->
                    message.setResult(Reserved.Result.NOT_HELD)
                            .setRetryAfterMs(toMillis(notHeld.retryAfterNanos()));
        }
        return message.build();
    }

    private static Admission toAdmission(Reserved message) {
        long nanos =
                message.getRetryAfterMs() < 0
                        ? -1
                        : TimeUnit.MILLISECONDS.toNanos(message.getRetryAfterMs());
        return switch (message.getResult()) {
            case GRANTED -> new Admission.Granted();
            case OVER_RATE -> new Admission.OverRate(nanos, message.getMayBeWithinRate());
            default -> new Admission.NotHeld(nanos);
        };
    }

    private static long toMillis(long nanos) {
        return nanos < 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    private static long retryNanos() {
        return TimeUnit.SECONDS.toNanos(1);
    }
}
