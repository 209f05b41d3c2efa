package org.bronzelug.log;

/** The numbered log events; docs/EVENTS.md lists them with what an operator does. Immutable. */
public enum LogEvent {
    DAEMON_STARTED(100, "daemon started"),
    DAEMON_DRAINING(101, "graceful stop begun"),
    DAEMON_STOPPED(102, "daemon stopped"),
    DRAIN_INCOMPLETE(103, "requests still open at the drain limit"),
    HANDED_OVER(104, "action records and shares handed to an heir"),
    HAND_OVER_FAILED(105, "no heir took the action records; their calls stay in doubt"),
    PLATFORM_REACHED(200, "platform answers again"),
    PLATFORM_LOST(201, "platform does not answer"),
    CONFIGURATION_INSTALLED(202, "newer configuration in force here"),
    CONFIGURATION_UNREADABLE(203, "a configuration object can't be read; the rest stays in force"),
    CHANGE_COMMITTED(204, "change committed"),
    CHANGE_REFUSED(205, "change refused"),
    HISTORY_GONE(206, "the platform's history is gone; the kind is listed again"),
    WEIGHTS_NAMED(207, "newer weights of a model are to be loaded"),
    REGISTRATION_FAILED(208, "this VM's address could not be written to the platform yet"),
    PLATFORM_READER(209, "this VM reads the platform itself from now on, or reads from peers"),
    PEER_FOLLOWED(210, "changes of the platform's objects are read from a peer from now on"),
    PEER_READ_FAILED(211, "a peer did not answer a read of the platform's objects"),
    FRESHNESS_LOST(300, "no word of the configuration for too long: requests are refused"),
    FRESHNESS_REGAINED(301, "the configuration is known to be current again"),
    PEER_UNREACHABLE(302, "peer does not answer"),
    PEER_REFUSED(303, "peer failed to authenticate or sent a malformed message"),
    ROSTER_JOINED(304, "this VM entered the roster"),
    SHARE_TAKEN(400, "rate share of a group taken over"),
    SHARE_LOST(401, "rate share of a group moved to another VM"),
    RUNNER_UP(500, "endpoint answers"),
    RUNNER_DOWN(501, "endpoint does not answer"),
    RUNNER_REPLACED(502, "endpoint came back as another incarnation; its cache is forgotten"),
    STREAM_MOVED(503, "stream moved to another runner"),
    ACTION_IN_DOUBT(504, "non-idempotent call may have run; it is not repeated"),
    ORDER_TAKEN(505, "orders of a pool taken over"),
    ORDER_GIVEN(506, "runner ordered to load weights"),
    ORDER_FAILED(507, "order was not carried out"),
    ORDER_LEASE_NOT_TAKEN(508, "another VM has taken or renewed the right to give orders"),
    ORDER_WEIGHED(509, "a runner told what it has; it is ordered if it lags and is free"),
    ENDPOINT_LIMIT_CHANGED(510, "an endpoint names another limit on its requests, or none"),
    ENDPOINT_LIMIT_MALFORMED(511, "an endpoint names a limit that is no number; it is ignored"),
    REQUEST_ENDED(600, "request answered, or given up"),
    REQUEST_REFUSED(601, "request refused before it was sent anywhere"),
    REQUEST_SENT(604, "request is sent to an endpoint"),
    REQUEST_MOVED(602, "request leaves an endpoint without an answer from it"),
    TEAM_RATE_CHANGED(603, "a team's rate or burst is another one from now on"),
    SERVING(700, "this VM takes callers"),
    NOT_SERVING(701, "this VM takes no callers"),
    SETTINGS_RELOADED(702, "settings read again"),
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
