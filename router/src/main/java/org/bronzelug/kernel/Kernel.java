package org.bronzelug.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The micro-kernel: starts services in the order of their registration, stops them in the reverse
 * one, and finds them by name.
 *
 * <p>Invariant: a service is stopped exactly once if its start was tried. Thread-safe.
 */
public final class Kernel {
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Service> started = new ArrayDeque<>();

    /** Adds a service; two of one name are a mistake of the program. */
    public synchronized void register(Service service) {
        if (services.putIfAbsent(service.name(), service) != null) {
            throw new IllegalArgumentException("two services are named " + service.name());
        }
    }

    /** Finds a service by its name. */
    public synchronized <T extends Service> Optional<T> find(String name, Class<T> type) {
        return Optional.ofNullable(services.get(name)).filter(type::isInstance).map(type::cast);
    }

    /** Starts all services; where one fails, those before it are stopped again. */
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

    /** Stops all services that were started, the last one first. */
    public synchronized void stop() {
        while (!started.isEmpty()) {
            started.pop().stop();
        }
    }
}
