package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.core.membership.PlatformReaders.Candidate;
import org.bronzelug.core.routing.SocketAddressText;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;

/**
 * Registers this VM's address with the platform and lists the addresses of the other VMs. A VM that
 * receives state updates of its peers needs no list, so the list is read at the start only, and
 * again while no peer is reachable. Confined to the control thread.
 */
final class VmRegistration {
    static final String KIND = "router-vms";
    private static final String ADDRESS_FIELD = "peersAddress";
    private static final String ZONE_FIELD = "availabilityZone";
    private static final String RENEWALS_FIELD = "renewals";
    private static final long RETRY_MILLIS = 500;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EventLoop control;
    private final ObjectStore store;
    private final VmSettings settings;
    private final MemberTable members;
    private final Consumer<List<Candidate>> onListed;
    private final DecodedItems<Candidate> decoded = new DecodedItems<>(VmRegistration::decode);
    private final VmPresence presence;
    private long renewals;
    private boolean listInFlight;
    private boolean stopped;

    /**
     * @param onListed receives the registered VMs after each attempt to list them; none if the
     *     attempt failed
     */
    VmRegistration(
            EventLoop control,
            ObjectStore store,
            VmSettings settings,
            MemberTable members,
            Consumer<List<Candidate>> onListed) {
        this.onListed = onListed;
        this.control = control;
        this.store = store;
        this.settings = settings;
        this.members = members;
        this.presence =
                new VmPresence(
                        settings.vm(), store, members, this::renewedContent, System.nanoTime());
    }

    /**
     * Registers this VM and then lists the others, so that of two VMs that start at the same time
     * at least the later one finds the other.
     */
    void start() {
        register();
    }

    /** Ends the attempts to register; a call in flight is not cancelled. */
    void stop() {
        stopped = true;
    }

    private void register() {
        if (stopped) {
            return;
        }
        store.create(KIND, settings.vm(), content())
                .whenComplete((item, failure) -> onRegistered(failure));
    }

    /** Runs one round of {@link VmPresence}, until the VM has stopped. */
    void round(long nowNanos) {
        if (!stopped) {
            presence.round(nowNanos);
        }
    }

    private byte[] content() {
        ObjectNode content = JSON.createObjectNode();
        content.put(ADDRESS_FIELD, settings.peersAddress());
        content.put(ZONE_FIELD, settings.availabilityZone());
        content.put(RENEWALS_FIELD, renewals);
        return content.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a content that differs from all before, so that the entry's revision changes. */
    private byte[] renewedContent() {
        renewals = Math.max(renewals + 1, System.currentTimeMillis());
        return content();
    }

    private void onRegistered(Throwable failure) {
        boolean isRegistered =
                failure == null
                        || StoreException.problem(failure) == StoreException.Problem.CONFLICT;
        if (!isRegistered) {
            EventLog.info(LogEvent.REGISTRATION_FAILED, "cause=\"" + failure.getMessage() + "\"");
            control.schedule(this::register, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
        list();
    }

    /** Lists the VMs, unless a list is in flight or the VM has stopped. */
    void list() {
        if (listInFlight || stopped) {
            return;
        }
        listInFlight = true;
        store.list(KIND)
                .whenComplete(
                        (list, failure) -> {
                            listInFlight = false;
                            onListed.accept(failure == null ? recordListed(list) : List.of());
                        });
    }

    private List<Candidate> recordListed(ItemList list) {
        List<Candidate> registeredVms = new ArrayList<>();
        boolean ownIsCurrent = false;
        for (Candidate vm : decoded.update(list.items())) {
            if (vm.name().equals(settings.vm())) {
                ownIsCurrent = vm.address().equals(settings.peersAddress());
            } else {
                members.addRegistered(vm.name(), vm.address(), System.nanoTime());
                registeredVms.add(vm);
            }
        }
        if (!ownIsCurrent) {
            list.items().stream()
                    .filter(item -> item.name().equals(settings.vm()))
                    .forEach(this::replaceEntry);
        }
        return registeredVms;
    }

    /**
     * Replaces this VM's entry, which shows another address or none: a VM may restart under its
     * name at a new address.
     */
    private void replaceEntry(StoredItem item) {
        store.replace(KIND, new StoredItem(item.name(), item.revision(), content()));
    }

    /**
     * Decodes the entry of a VM; empty if no datagram can be sent to its address. Without this, one
     * such entry ends each round of state updates before all peers are addressed.
     */
    private static Optional<Candidate> decode(StoredItem item) {
        String cause = "no usable address";
        try {
            JsonNode content = JSON.readTree(item.content());
            String address = content.path(ADDRESS_FIELD).asText("");
            if (SocketAddressText.isValid(address)) {
                String zone = content.path(ZONE_FIELD).asText("");
                return Optional.of(new Candidate(item.name(), zone, address, false, false));
            }
        } catch (IOException malformed) {
            cause = malformed.getMessage();
        }
        EventLog.warn(
                LogEvent.CONFIGURATION_UNREADABLE,
                "kind=" + KIND + " object=" + item.name() + " cause=" + cause);
        return Optional.empty();
    }
}
