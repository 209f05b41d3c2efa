package org.bronzelug.router.relay;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Decides to which endpoints a VM relays connections. Called on the traffic thread. */
public interface RelayDirectory {
    /** Returns the endpoint's address; empty if this VM can't or may not connect to it. */
    Optional<InetSocketAddress> addressOf(RelayTarget target);
}
