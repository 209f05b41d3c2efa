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
 * Reserves metered tokens for requests, here or at the VM that holds the team's rate.
 *
 * <p>While a share moves, a request waits for the new holder as long as its caller allows, since it
 * may be within the team's rate; only a request beyond the rate is refused, and at once. A
 * reservation has an id, so asking again after a lost answer takes nothing twice.
 *
 * <p>Blocking; called on traffic threads. Thread-safe.
 */
@Singleton
public final class RateGate {
    private static final long EXCHANGE_MILLIS = 300;
    private static final long RETRY_MILLIS = 50;

    private final ControlThread control;
    private final ControlState state;
    private final PeerNetwork peers;

    @Inject
    public RateGate(ControlThread control, ControlState state, PeerNetwork peers) {
        this.control = control;
        this.state = state;
        this.peers = peers;
        peers.handle(Envelope.BodyCase.RESERVE, this::answerReserve);
        peers.handle(Envelope.BodyCase.SETTLE, this::answerSettle);
    }

    /** Reserves tokens; waits while the share moves, at most until the time given. */
    public Admission reserve(String id, String team, double tokens, long untilNanos) {
        while (true) {
            Admission admission = tryReserve(id, team, tokens);
            boolean wait = admission instanceof Admission.NotHeld;
            if (!wait || System.nanoTime() >= untilNanos) {
                return admission;
            }
            Pause.millis(RETRY_MILLIS);
        }
    }

    private Admission tryReserve(String id, String team, double tokens) {
        Optional<String> address = addressOfHolder(team);
        if (address.isEmpty()) {
            return control.ask(() -> reserveHere(id, team, tokens)).join();
        }
        Reserve reserve = Reserve.newBuilder().setId(id).setTeam(team).setTokens(tokens).build();
        return peers.exchange(
                        address.get(), Envelope.newBuilder().setReserve(reserve), EXCHANGE_MILLIS)
                .handle(
                        (envelope, failure) ->
                                failure == null
                                        ? toAdmission(envelope.getReserved())
                                        : new Admission.NotHeld(retryNanos()))
                .join();
    }

    /**
     * Empty where this VM itself holds the team's rate or answers for its holder, or nobody does.
     */
    private Optional<String> addressOfHolder(String team) {
        ControlView view = state.view();
        return view.catalog()
                .share(RateShares.groupOf(team))
                .map(Catalog.Claim::holder)
                .flatMap(view::addressOf);
    }

    private Admission reserveHere(String id, String team, double tokens) {
        long now = System.nanoTime();
        Optional<TeamRate> rate = state.catalog().rate(team);
        if (rate.isEmpty()) {
            return new Admission.NotHeld(retryNanos());
        }
        boolean fresh = state.freshness().isFresh(now);
        return state.shares().reserve(id, team, rate.get(), tokens, now, fresh);
    }

    /** Ends a reservation at the amount used; a lost message leaves the rest unused, never more. */
    public void settle(String id, String team, double used) {
        Optional<String> address = addressOfHolder(team);
        if (address.isEmpty()) {
            control.run(() -> state.shares().settle(id, team, used, System.nanoTime()));
            return;
        }
        Settle settle = Settle.newBuilder().setId(id).setTeam(team).setUsed(used).build();
        CompletableFuture<Envelope> ignored =
                peers.exchange(
                        address.get(), Envelope.newBuilder().setSettle(settle), EXCHANGE_MILLIS);
        ignored.exceptionally(failure -> null);
    }

    private CompletableFuture<Envelope.Builder> answerReserve(Envelope request) {
        Reserve reserve = request.getReserve();
        return control.ask(
                () -> {
                    Admission admission =
                            reserveHere(reserve.getId(), reserve.getTeam(), reserve.getTokens());
                    return Envelope.newBuilder().setReserved(toMessage(admission));
                });
    }

    private CompletableFuture<Envelope.Builder> answerSettle(Envelope request) {
        Settle settle = request.getSettle();
        return control.ask(
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
                            .setRetryAfterMs(toMillis(over.retryAfterNanos()));
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
            case OVER_RATE -> new Admission.OverRate(nanos);
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
