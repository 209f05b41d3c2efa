package org.bronzelug.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Manages the lifecycle of services: starts them in the order of their registration, stops them in
 * the reverse order, and finds them by name.
 *
 * <p>Invariant: a service is stopped exactly once if its start was attempted. Thread-safe.
 */
public final class Kernel {
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Service> started = new ArrayDeque<>();

    /**
     * Registers a service.
     *
     * @throws IllegalArgumentException if a service of the same name is registered
     */
    public synchronized void register(Service service) {
        if (services.putIfAbsent(service.name(), service) != null) {
            throw new IllegalArgumentException("duplicate service name " + service.name());
        }
    }

    /** Returns the service of a name and type. */
    public synchronized <T extends Service> Optional<T> find(String name, Class<T> type) {
        return Optional.ofNullable(services.get(name)).filter(type::isInstance).map(type::cast);
    }

    /** Starts all services; if one fails to start, it and those started before it are stopped. */
    public synchronized void start() throws ServiceException {
        for (Service service : services.values()) {
            started.push(service);
            try {
                service.start();
            } catch (ServiceException failed) {
                stop();
                throw failed;
            }
        }
    }

    /** Stops all services that were started, in reverse order. */
    public synchronized void stop() {
        while (!started.isEmpty()) {
            started.pop().stop();
        }
    }
}
