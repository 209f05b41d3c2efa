package org.bronzelug.daemon;

import java.util.concurrent.atomic.AtomicBoolean;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.control.ControlView;
import org.bronzelug.daemon.runner.Endpoint;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.Kernel;
import org.bronzelug.kernel.ServiceException;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The daemon of one VM: a kernel with the daemon's services.
 *
 * <p>Thread-safe. A daemon is started once and stopped once, gracefully or immediately.
 */
public final class Daemon {
    private final DaemonComponent component;
    private final Kernel kernel = new Kernel();
    private final AtomicBoolean stopped = new AtomicBoolean();

    public Daemon(Settings settings) {
        component =
                DaggerDaemonComponent.builder().daemonModule(new DaemonModule(settings)).build();
    }

    /** Starts all services. Requests are served as soon as the configuration is known. */
    public void start() throws ServiceException {
        component.successorService();
        kernel.register(component.controlThread());
        kernel.register(component.peerNetwork());
        kernel.register(component.endpointDirectory());
        kernel.register(component.platformWatch());
        kernel.register(component.callerServer());
        kernel.register(component.probeService());
        kernel.register(component.rosterService());
        kernel.register(component.shareService());
        kernel.register(component.loadOrderService());
        kernel.register(component.monitorServer());
        kernel.start();
        EventLog.info(
                LogEvent.DAEMON_STARTED,
                "vm "
                        + identity().vm()
                        + ", callers "
                        + callerAddress()
                        + ", peers "
                        + component.peerNetwork().address());
    }

    /** Stops gracefully: requests in progress may end within the time limit for draining. */
    public void stop() throws InterruptedException {
        if (stopped.compareAndSet(false, true)) {
            component.drain().run();
            kernel.stop();
            EventLog.info(LogEvent.DAEMON_STOPPED, "vm " + identity().vm());
        }
    }

    /** Stops immediately, without draining, as a crash would. */
    public void kill() {
        if (stopped.compareAndSet(false, true)) {
            kernel.stop();
        }
    }

    public MemberIdentity identity() {
        return component.controlState().self();
    }

    public String callerAddress() {
        return component.callerServer().address();
    }

    public String peerAddress() {
        return component.peerNetwork().listenAddress();
    }

    public String monitorAddress() {
        return component.monitorServer().address();
    }

    /** Returns whether this VM serves requests now. */
    public boolean isServing() {
        return component.controlState().view().isFresh(System.nanoTime());
    }

    /** Returns the control state that the traffic threads currently use. */
    public ControlView view() {
        return component.controlState().view();
    }

    /** Returns whether the platform responded to the last call. */
    public boolean isPlatformUp() {
        return component.platformWatch().isPlatformReachable();
    }

    /** Returns the digest of the configuration; equal for daemons with equal configurations. */
    public long digest() {
        return component
                .controlThread()
                .submit(() -> component.controlState().configuration().digest())
                .join();
    }

    /** Returns the number of endpoints that respond to this VM. */
    public long liveEndpoints() {
        return component.endpointDirectory().all().stream().filter(Endpoint::isLive).count();
    }

    /** Returns the kernel, in which services are looked up by name. */
    public Kernel kernel() {
        return kernel;
    }
}
