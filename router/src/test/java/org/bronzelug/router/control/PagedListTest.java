package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemChanges.ItemChange;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.StoredItem;

/**
 * Guards against a change between two pages of a list that never reaches the VM: it sends requests
 * to an endpoint that drains or has left, or never uses one that has joined.
 */
class PagedListTest {
    private static final String KIND = "kind";
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f");
    private static final int VMS = 3;
    private static final int QUIET_ROUNDS = 60;

    /** Two without a pause and those of a backoff that doubles from 60 ms, with a random half. */
    private static final int MOST_LISTS_IN_A_SECOND = 8;

    private final EmbeddedChannel channel = new EmbeddedChannel();

    @Provide
    Arbitrary<Integer> pageSizes() {
        return Arbitraries.of(1, 2, 50);
    }

    /**
     * Objects are put, removed and created again while lists and watches are answered late or not
     * at all, the store discards its history, and VMs read from each other. No mirror ever claims a
     * revision before which one of its objects was read, peers read snapshots only, and once the
     * store is quiet every mirror equals it.
     */
    @Property(seed = "60")
    void mirrorsFollowTheStoreWhateverChangesBetweenPages(
            @ForAll("pageSizes") int pageSize,
            @ForAll @Size(max = 150) List<@IntRange(max = 9_999) Integer> steps) {
        channel.freezeTime();
        PagedStore store = new PagedStore(pageSize);
        List<Vm> vms = new ArrayList<>();
        for (int index = 0; index < VMS; index++) {
            vms.add(new Vm(store));
        }
        vms.forEach(vm -> vm.watch.start());
        for (int step : steps) {
            step(store, vms, step % 12, step / 12);
            vms.forEach(vm -> vm.check(store));
        }
        for (int round = 0; round < QUIET_ROUNDS; round++) {
            advance(1_000);
            answerAll(store);
        }
        for (Vm vm : vms) {
            assertThat(vm.objects()).isEqualTo(store.objectsAt(store.revision()));
        }
    }

    /**
     * Guards against a VM that lists without a pause, and so takes up the platform's rate of calls
     * of the whole fleet, while the platform keeps less history than a list takes.
     */
    @Example
    void listsArePacedWhileHistoryIsShorterThanAList() {
        channel.freezeTime();
        PagedStore store = new PagedStore(1);
        store.put("b");
        Vm vm = new Vm(store);
        vm.watch.start();
        for (int millis = 0; millis < 1_000; millis++) {
            store.put("a");
            store.discardHistory();
            answerAll(store);
            advance(1);
        }
        assertThat(store.lists()).isAtMost(MOST_LISTS_IN_A_SECOND);
        assertThat(vm.mirror.revision()).isAtLeast(store.revision() / 4);
    }

    /**
     * Guards against a change whose event was lost and that the list after it doesn't bring, since
     * a peer has moved the mirror on while the list was read.
     */
    @Example
    void listThatAPeerHasOvertakenIsReadAgain() {
        channel.freezeTime();
        PagedStore store = new PagedStore(50);
        Vm vm = new Vm(store);
        vm.mirror.replaceAll(new ItemList(List.of(item("a", 1)), 2));
        store.put("a");
        vm.watch.start();
        ItemChange change = new ItemChange(item("b", 3), false);
        vm.mirror.applyOutcome(new ItemChanges(List.of(change), 3));
        answerAll(store);
        store.put("b");
        for (int round = 0; round < QUIET_ROUNDS; round++) {
            advance(1_000);
            answerAll(store);
        }
        assertThat(vm.objects()).isEqualTo(store.objectsAt(store.revision()));
    }

    /**
     * Guards against a list of many pages that never ends, so that a starting VM never serves,
     * while the platform rejects most calls.
     */
    @Example
    void listOfManyPagesEndsWhileMostCallsFail() {
        channel.freezeTime();
        PagedStore store = new PagedStore(1);
        NAMES.forEach(store::put);
        Vm vm = new Vm(store);
        vm.watch.start();
        for (int call = 0; call < NAMES.size() * 4; call++) {
            if (call % 3 < 2) {
                store.fail(0);
            } else {
                store.answer(0);
            }
            advance(2_000);
        }
        assertThat(vm.objects()).isEqualTo(store.objectsAt(store.revision()));
    }

    private static StoredItem item(String name, long revision) {
        return new StoredItem(name, revision, new byte[0]);
    }

    private void step(PagedStore store, List<Vm> vms, int kind, int argument) {
        String name = NAMES.get(argument % NAMES.size());
        Vm vm = vms.get(argument % VMS);
        switch (kind) {
            case 0, 1 -> store.put(name);
            case 2 -> store.remove(name);
            case 3 -> {
                store.remove(name);
                store.put(name);
            }
            case 4, 5, 6, 7 -> {
                if (store.waitingCalls() > 0) {
                    store.answer(argument);
                }
            }
            case 8 -> {
                if (store.waitingCalls() > 0) {
                    store.fail(argument);
                }
            }
            case 9 -> vm.readFrom(vms.get(argument / VMS % VMS));
            case 10 -> advance(100);
            default -> rareStep(store, vm, argument / VMS % 3);
        }
    }

    private static void rareStep(PagedStore store, Vm vm, int kind) {
        switch (kind) {
            case 0 -> store.discardHistory();
            case 1 -> vm.watch.restart();
            default -> {
                if (vm.watch.isWatching()) {
                    vm.watch.check();
                }
            }
        }
    }

    private void advance(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Answers the calls that wait now, but not those that their answers lead to. */
    private static void answerAll(PagedStore store) {
        for (int calls = store.waitingCalls(); calls > 0; calls--) {
            store.answer(0);
        }
    }

    /** One VM's mirror and watch. */
    private final class Vm {
        private final ObjectMirror mirror = new ObjectMirror();
        private final KindWatch watch;

        private Vm(PagedStore store) {
            watch = new KindWatch(KIND, channel.eventLoop(), store, mirror, NO_LISTENER);
        }

        private void readFrom(Vm peer) {
            PeerFeed.changes(KIND, peer.mirror, mirror.snapshotRevision())
                    .filter(changes -> PeerReader.apply(mirror, changes))
                    .ifPresent(changes -> watch.expectChange());
        }

        private Map<String, Long> objects() {
            return mirror.items().stream()
                    .collect(Collectors.toMap(StoredItem::name, StoredItem::revision));
        }

        private void check(PagedStore store) {
            Map<String, Long> objects = objects();
            for (String name : NAMES) {
                boolean found =
                        LongStream.rangeClosed(mirror.revision(), store.revision())
                                .mapToObj(store::objectsAt)
                                .anyMatch(
                                        past -> Objects.equals(past.get(name), objects.get(name)));
                assertWithMessage("%s at or after %s", name, mirror.revision())
                        .that(found)
                        .isTrue();
            }
            if (mirror.isSnapshot()) {
                assertThat(objects).isEqualTo(store.objectsAt(mirror.revision()));
            }
        }
    }

    private static final KindWatch.Listener NO_LISTENER =
            new KindWatch.Listener() {
                @Override
                public void onChange(String kind) {
                    // The mirror shows what has changed.
                }

                @Override
                public void onReachable(String kind, boolean reachable) {
                    // The store is asked again in any case.
                }
            };
}
