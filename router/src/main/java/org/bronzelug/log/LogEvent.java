package org.bronzelug.log;

/**
 * The numbered log events. docs/EVENTS.md lists them with the action that an operator takes.
 * Immutable.
 */
public enum LogEvent {
    DAEMON_STARTED(100, "daemon started"),
    DAEMON_DRAINING(101, "graceful stop started"),
    DAEMON_STOPPED(102, "daemon stopped"),
    DRAIN_INCOMPLETE(103, "requests still in flight at the drain timeout"),
    HANDED_OVER(104, "action records and shares transferred to the successor"),
    HAND_OVER_FAILED(105, "no successor accepted the action records; their actions stay in doubt"),
    PLATFORM_REACHED(200, "platform reachable again"),
    PLATFORM_LOST(201, "platform unreachable, retrying"),
    CONFIGURATION_INSTALLED(202, "newer configuration in force on this VM"),
    CONFIGURATION_UNREADABLE(
            203, "configuration object unreadable; the other objects stay in force"),
    CHANGE_COMMITTED(204, "change committed"),
    CHANGE_REFUSED(205, "change rejected"),
    HISTORY_GONE(206, "changes after the revision no longer available; listing the kind again"),
    WEIGHTS_NAMED(207, "newer target version of a model's weights published"),
    REGISTRATION_FAILED(208, "registration of this VM's address failed, retrying"),
    PLATFORM_READER(209, "source of the platform's objects changed"),
    PEER_FOLLOWED(210, "polling a peer for changes of the platform's objects"),
    PEER_READ_FAILED(
            211, "read of the platform's objects from a peer failed; using another source"),
    LISTED_IN_PAGES(212, "list of a kind read in several pages"),
    VMS_GONE(213, "VMs taken for gone have changed; the others use their shares"),
    VM_SHARE_CHANGED(214, "other VMs may have taken this VM's share of rates, or no longer have"),
    FRESHNESS_LOST(300, "configuration not confirmed as current for too long; rejecting requests"),
    FRESHNESS_REGAINED(301, "configuration confirmed as current again"),
    PEER_UNREACHABLE(302, "peer unreachable"),
    PEER_REFUSED(303, "peer not authenticated or its message malformed; rejecting it"),
    ROSTER_JOINED(304, "this VM entered the roster"),
    SHARE_TAKEN(400, "rate share of a group acquired"),
    SHARE_LOST(401, "rate share of a group moved to another VM"),
    RUNNER_UP(500, "endpoint available"),
    RUNNER_DOWN(501, "endpoint unavailable"),
    RUNNER_REPLACED(502, "endpoint restarted as another incarnation; dropping its cache estimate"),
    STREAM_MOVED(503, "stream moved to another runner"),
    ACTION_IN_DOUBT(504, "non-idempotent action may have run; not retrying it"),
    ORDER_TAKEN(505, "right to give orders acquired"),
    ORDER_GIVEN(506, "runner ordered to load weights"),
    ORDER_FAILED(507, "order to a runner failed, retrying"),
    ORDER_LEASE_NOT_TAKEN(508, "right to give orders not acquired; another VM may hold it"),
    ORDER_WEIGHED(509, "runner reported its weights; ordering it if it is behind and idle"),
    ENDPOINT_LIMIT_CHANGED(510, "endpoint advertises a changed limit on its requests, or none"),
    ENDPOINT_LIMIT_MALFORMED(511, "endpoint advertises a limit that is not a number; ignoring it"),
    STREAM_STAYED(512, "stream stays at its runner, since no other runner took it over"),
    ROLLOUT_ORDERED(513, "rollout of a software version ordered"),
    ROLLOUT_STAGE(514, "rollout entered another stage; requests follow it at once"),
    ROLLOUT_WRITTEN(515, "status of a rollout sent to the platform"),
    ROLLOUT_INVALID(516, "rollout can't be carried out; rolling it back without moving traffic"),
    ENDPOINT_BACKOFF_CHANGED(517, "endpoint asks this VM for a backoff; sending it no requests"),
    ENDPOINT_BACKOFF_MALFORMED(
            518, "endpoint asks for a backoff without a valid time; ignoring it"),
    ENDPOINT_LEAVING(519, "endpoint states that it leaves; sending it no more requests"),
    PATH_LOST(520, "endpoint reachable through another VM only; sending requests through it"),
    PATH_REGAINED(521, "endpoint directly reachable again"),
    RELAY_OPENED(522, "connection to an endpoint opened for another VM"),
    RELAY_REFUSED(523, "connection to an endpoint not opened for another VM"),
    REJECTION_TOLERANCE_CHANGED(
            524, "endpoint states how many rejections it withstands, or none any more"),
    REJECTION_TOLERANCE_MALFORMED(
            525, "endpoint states rejections that are not a number; ignoring it"),
    STREAM_ORIGIN_FOUND(526, "software version that began a resumed stream found; going on at it"),
    STREAM_ORIGIN_UNKNOWN(
            527,
            "software version that began a resumed stream not known; rejecting the resumption"),
    POOL_VERSIONS_WRITTEN(528, "recent software versions of a pool sent to the platform"),
    WEIGHTS_LOADED(529, "runner reported the weights that it was ordered to load"),
    ENDPOINT_CRASHED(530, "endpoint has crashed; watching the parts that were running there"),
    PARTS_QUARANTINED(531, "parts of prompts crash endpoints; rejecting requests with them"),
    PARTS_RELEASED(532, "endpoint survived a part of prompts; accepting requests with it again"),
    QUARANTINE_STORED(533, "parts under quarantine sent to the platform"),
    STREAM_ORIGINS_READ(534, "origins of streams that no VM knows read from the platform"),
    STREAM_ORIGINS_NOT_STORED(
            535, "origins of streams not taken by the platform; writing them again"),
    STREAM_ORIGINS_REMOVED(536, "stored origins of streams that have ended removed"),
    CONNECTION_OUT_OF_STEP(
            537,
            "endpoint sent bytes that belong to no request in progress; connection not reused"),
    REQUEST_HELD(606, "request waits for the outcome of another one that may crash its endpoint"),
    REQUEST_ENDED(600, "request completed or abandoned"),
    REQUEST_REFUSED(601, "request rejected before it was sent to an endpoint"),
    REQUEST_SENT(604, "request sent to an endpoint"),
    REQUEST_MOVED(602, "request withdrawn from an endpoint that did not complete it"),
    STREAM_RESUMPTION_DELAYED(605, "begun stream has no runner now; resuming it after a delay"),
    RETRY_BUDGET_USED_UP(
            607, "no retry is left for a pool; rejecting or delaying what would be retried"),
    RETRY_SHARE_CHANGED(608, "this VM's share of the fleet's retry slack changed"),
    REQUEST_WAITING(609, "no endpoint accepts the request now; it waits for one"),
    REQUEST_WAIT_ENDED(610, "request no longer waits for an endpoint"),
    REQUEST_WAIT_REFUSED(611, "request does not wait for an endpoint; rejecting it"),
    TEAM_RATE_CHANGED(603, "rate or burst of a team changed"),
    SERVING(700, "this VM serves requests"),
    NOT_SERVING(701, "this VM serves no requests"),
    SETTINGS_RELOADED(702, "settings reloaded"),
    INTERNAL_ERROR(900, "unexpected error; please report it");

    private final int number;
    private final String text;

    LogEvent(int number, String text) {
        this.number = number;
        this.text = text;
    }

    public int number() {
        return number;
    }

    public String text() {
        return text;
    }
}
