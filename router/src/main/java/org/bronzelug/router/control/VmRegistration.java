package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.core.membership.PlatformReaders.Candidate;
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
    private static final long RETRY_MILLIS = 500;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EventLoop control;
    private final ObjectStore store;
    private final VmSettings settings;
    private final MemberTable members;
    private final Consumer<List<Candidate>> onListed;
    private boolean listInFlight;

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
    }

    /**
     * Registers this VM and then lists the others, so that of two VMs that start at the same time
     * at least the later one finds the other.
     */
    void start() {
        register();
    }

    private void register() {
        store.create(KIND, settings.vm(), content())
                .whenComplete((item, failure) -> onRegistered(failure));
    }

    private byte[] content() {
        ObjectNode content = JSON.createObjectNode();
        content.put(ADDRESS_FIELD, settings.peersAddress());
        content.put(ZONE_FIELD, settings.availabilityZone());
        return content.toString().getBytes(StandardCharsets.UTF_8);
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

    /**
     * Replaces this VM's entry if it shows another address: a VM may restart under its name at a
     * new address.
     */
    private void updateAddress(StoredItem item) {
        if (!address(item).equals(settings.peersAddress())) {
            store.replace(KIND, new StoredItem(item.name(), item.revision(), content()));
        }
    }

    /** Lists the VMs, unless a list is in flight. */
    void list() {
        if (listInFlight) {
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
        for (StoredItem item : list.items()) {
            String address = address(item);
            if (item.name().equals(settings.vm())) {
                updateAddress(item);
            } else if (!address.isEmpty()) {
                members.addRegistered(item.name(), address, System.nanoTime());
                registeredVms.add(
                        new Candidate(item.name(), field(item, ZONE_FIELD), address, false, false));
            }
        }
        return registeredVms;
    }

    private static String address(StoredItem item) {
        return field(item, ADDRESS_FIELD);
    }

    private static String field(StoredItem item, String name) {
        try {
            JsonNode content = JSON.readTree(item.content());
            return content == null ? "" : content.path(name).asText("");
        } catch (IOException malformed) {
            EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, "kind=" + KIND + " " + item.name());
            return "";
        }
    }
}
