package org.bronzelug.router.endpoint;

/** How it shows that a connection carries other bytes than the response to its request. */
enum Desynchronization {
    NO_RESPONSE("bytes that are no response"),
    REPEATED_FIELD("a response head has a field twice that it has once at most"),
    JOINED_HEADS("a response head has a status line within"),
    OTHER_REQUEST("a response to another request"),
    NO_REQUEST("a response without a request id"),
    JOINED_BODY("a response whose body has another response within"),
    BYTES_AFTER_RESPONSE("bytes after a response"),
    TOO_MUCH_SKIPPED("too many bytes before the response");

    private final String text;

    Desynchronization(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
