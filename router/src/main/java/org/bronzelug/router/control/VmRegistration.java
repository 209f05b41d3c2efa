package org.bronzelug.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;

/**
 * Makes the VMs known to each other through the platform: each writes its address once, and lists
 * the others'. Whoever hears of a VM by datagram needs no list, so this is read at the start, and
 * again while nobody is heard. Confined to the control thread.
 */
final class VmRegistration {
    static final String KIND = "router-vms";
    private static final String ADDRESS_FIELD = "peersAddress";
    private static final long RETRY_MILLIS = 500;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EventLoop control;
    private final ObjectStore store;
    private final VmSettings settings;
    private final MemberTable members;
    private final Runnable onListed;
    private boolean listing;

    /**
     * @param onListed runs after each try to list the VMs
     */
    VmRegistration(
            EventLoop control,
            ObjectStore store,
            VmSettings settings,
            MemberTable members,
            Runnable onListed) {
        this.onListed = onListed;
        this.control = control;
        this.store = store;
        this.settings = settings;
        this.members = members;
    }

    void start() {
        register();
        list();
    }

    private void register() {
        byte[] content =
                ("{\"" + ADDRESS_FIELD + "\":\"" + settings.peersAddress() + "\"}")
                        .getBytes(StandardCharsets.UTF_8);
        store.create(KIND, settings.vm(), content)
                .whenComplete((item, failure) -> registered(failure, content));
    }

    private void registered(Throwable failure, byte[] content) {
        if (failure == null) {
            return;
        }
        if (problem(failure) == StoreException.Problem.CONFLICT) {
            store.read(KIND, settings.vm()).thenAccept(item -> correct(item, content));
            return;
        }
        EventLog.info(LogEvent.REGISTRATION_FAILED, "cause=\"" + failure.getMessage() + "\"");
        control.schedule(this::register, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A VM that comes back under its name may have another address. */
    private void correct(StoredItem item, byte[] content) {
        if (!address(item).equals(settings.peersAddress())) {
            store.replace(KIND, new StoredItem(item.name(), item.revision(), content));
        }
    }

    /** Lists the VMs, unless a list is under way. */
    void list() {
        if (listing) {
            return;
        }
        listing = true;
        store.list(KIND)
                .whenComplete(
                        (list, failure) -> {
                            listing = false;
                            if (failure == null) {
                                take(list);
                            }
                            onListed.run();
                        });
    }

    private void take(ItemList list) {
        for (StoredItem item : list.items()) {
            String address = address(item);
            if (!address.isEmpty()) {
                members.addAddress(address);
            }
        }
    }

    private static String address(StoredItem item) {
        try {
            JsonNode content = JSON.readTree(item.content());
            return content == null ? "" : content.path(ADDRESS_FIELD).asText("");
        } catch (IOException malformed) {
            EventLog.warn(LogEvent.CONFIGURATION_UNREADABLE, "kind=" + KIND + " " + item.name());
            return "";
        }
    }

    private static StoreException.Problem problem(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof StoreException store
                ? store.problem()
                : StoreException.Problem.UNAVAILABLE;
    }
}
