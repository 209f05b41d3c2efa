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
 * One VM's daemon: the kernel with its services.
 *
 * <p>Thread-safe: it is started once, and stopped once, gracefully or at once.
 */
public final class Daemon {
    private final DaemonComponent component;
    private final Kernel kernel = new Kernel();
    private final AtomicBoolean stopped = new AtomicBoolean();

    public Daemon(Settings settings) {
        component =
                DaggerDaemonComponent.builder().daemonModule(new DaemonModule(settings)).build();
    }

    /** Starts all services; callers are served as soon as the configuration is known. */
    public void start() throws ServiceException {
        component.heirService();
        kernel.register(component.controlThread());
        kernel.register(component.peerNetwork());
        kernel.register(component.endpointDirectory());
        kernel.register(component.platformWatch());
        kernel.register(component.callerServer());
        kernel.register(component.probeService());
        kernel.register(component.rosterKeeper());
        kernel.register(component.shareKeeper());
        kernel.register(component.orderKeeper());
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

    /** Stops gracefully: no request is cut while the drain limit lasts. */
    public void stop() throws InterruptedException {
        if (stopped.compareAndSet(false, true)) {
            component.drain().run();
            kernel.stop();
            EventLog.info(LogEvent.DAEMON_STOPPED, "vm " + identity().vm());
        }
    }

    /** Stops at once, as a crash would. */
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

    /** Whether requests are served now. */
    public boolean isServing() {
        return component.controlState().view().isFresh(System.nanoTime());
    }

    /** What the traffic threads see now. */
    public ControlView view() {
        return component.controlState().view();
    }

    /** Whether the platform answered the last call. */
    public boolean isPlatformUp() {
        return component.platformWatch().isReachable();
    }

    /** Equal for daemons that have the same configuration in force. */
    public long digest() {
        return component
                .controlThread()
                .ask(() -> component.controlState().configuration().digest())
                .join();
    }

    /** The endpoints that answer this VM. */
    public long liveEndpoints() {
        return component.endpointDirectory().all().stream().filter(Endpoint::isLive).count();
    }

    /** A service by its name, as the services themselves find each other. */
    public Kernel kernel() {
        return kernel;
    }
}
