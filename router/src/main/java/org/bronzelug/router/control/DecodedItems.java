package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.store.StoredItem;

/**
 * The decoded objects of one kind.
 *
 * <p>Invariants: each revision of an object is decoded once, so one that can't be decoded is logged
 * once, however often other objects of its kind change. One at which the decoder fails is left out;
 * without this, no change of any object of the kind would be applied while it exists. Confined to
 * the control thread.
 */
public final class DecodedItems<T> {
    private final Function<StoredItem, Optional<T>> decoder;
    private Map<String, Decoded<T>> decoded = new HashMap<>();

    /**
     * @param decoder decodes one object; empty if that is not possible
     */
    public DecodedItems(Function<StoredItem, Optional<T>> decoder) {
        this.decoder = decoder;
    }

    private record Decoded<T>(long revision, Optional<T> value) {}

    /**
     * Replaces the objects.
     *
     * @param items all objects of the kind
     * @return those that could be decoded
     */
    public List<T> update(Collection<StoredItem> items) {
        Map<String, Decoded<T>> updated = new HashMap<>();
        List<T> values = new ArrayList<>();
        for (StoredItem item : items) {
            Decoded<T> known = decoded.get(item.name());
            Decoded<T> current =
                    known != null && known.revision == item.revision()
                            ? known
                            : new Decoded<>(item.revision(), decode(item));
            updated.put(item.name(), current);
            current.value.ifPresent(values::add);
        }
        decoded = updated;
        return values;
    }

    private Optional<T> decode(StoredItem item) {
        try {
            return decoder.apply(item);
        } catch (RuntimeException | StackOverflowError fault) {
            EventLog.warn(
                    LogEvent.INTERNAL_ERROR,
                    "an object can't be decoded, going on without it;"
                            + (" object=" + item.name())
                            + (" revision=" + item.revision()),
                    fault);
            return Optional.empty();
        }
    }
}
