package org.bronzelug.daemon;

import dagger.Component;
import javax.inject.Singleton;
import org.bronzelug.daemon.caller.CallerServer;
import org.bronzelug.daemon.claim.LoadOrderService;
import org.bronzelug.daemon.claim.RosterService;
import org.bronzelug.daemon.claim.ShareService;
import org.bronzelug.daemon.claim.SuccessorService;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.PlatformWatch;
import org.bronzelug.daemon.control.ProbeService;
import org.bronzelug.daemon.monitor.MonitorServer;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.daemon.runner.EndpointDirectory;

/** The daemon's object graph, built by Dagger. */
@Singleton
@Component(modules = DaemonModule.class)
interface DaemonComponent {
    ControlThread controlThread();

    ControlState controlState();

    PeerNetwork peerNetwork();

    ProbeService probeService();

    PlatformWatch platformWatch();

    EndpointDirectory endpointDirectory();

    CallerServer callerServer();

    SuccessorService successorService();

    RosterService rosterService();

    ShareService shareService();

    LoadOrderService loadOrderService();

    MonitorServer monitorServer();

    Drain drain();
}
