package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemPage;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a rate that is admitted by both sides of a partition, and against a share of the
 * rate that stays unused once its VM has gone.
 */
class VmPresenceTest {
    private static final long MILLI = 1_000_000L;
    private static final long ROUND_MILLIS = 150;

    /** Time in which a VM notices that others are not heard. */
    private static final long DETECTION_MILLIS = 1_200;

    /** Time after which the others use the share of a VM that has gone. */
    private static final long GONE_MILLIS = 14_000;

    /** What a VM that reaches neither most VMs nor the platform may use beyond the whole. */
    private static final double LOST_SHARE = 0.05;

    private final RecordingStore store = new RecordingStore();
    private final List<Vm> fleet = new ArrayList<>();
    private long nowNanos;
    private long sequence;

    /** One VM of the fleet and what it reaches. */
    private final class Vm implements ObjectStore {
        private final String name;
        private final MemberTable members;
        private final VmPresence presence;
        private int side;
        private boolean alive = true;
        private boolean reachesStore = true;

        private Vm(int index) {
            name = "vm-" + index;
            members = new MemberTable(name);
            presence =
                    new VmPresence(
                            name, this, members, () -> bytes("renewal " + ++sequence), nowNanos);
            store.create(VmRegistration.KIND, name, bytes("{}"));
        }

        private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
            return reachesStore
                    ? call.get()
                    : CompletableFuture.failedFuture(
                            new StoreException(StoreException.Problem.UNANSWERED, "cut off"));
        }

        @Override
        public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
            return call(() -> store.page(kind, after));
        }

        @Override
        public CompletableFuture<StoredItem> read(String kind, String vm) {
            return call(() -> store.read(kind, vm));
        }

        @Override
        public CompletableFuture<StoredItem> create(String kind, String vm, byte[] content) {
            return call(() -> store.create(kind, vm, content));
        }

        @Override
        public CompletableFuture<StoredItem> replace(String kind, StoredItem item) {
            return call(() -> store.replace(kind, item));
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long revision) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<ItemChanges> changes(String kind, long revision) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> remove(String kind, StoredItem item) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoredItem> writeStatus(
                String kind, String vm, long revision, byte[] status) {
            throw new UnsupportedOperationException();
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void start(int size) {
        // Reads of the store are timed by the system's clock, as are all of a VM's calls.
        nowNanos = System.nanoTime();
        for (int index = 0; index < size; index++) {
            fleet.add(new Vm(index));
        }
        run(ROUND_MILLIS);
    }

    /** Lets time pass in rounds, in each of which the VMs that reach each other hear each other. */
    private void run(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += ROUND_MILLIS) {
            nowNanos += ROUND_MILLIS * MILLI;
            List<Vm> alive = fleet.stream().filter(vm -> vm.alive).toList();
            for (Vm sender : alive) {
                VmState update = update(sender.name);
                alive.stream()
                        .filter(receiver -> receiver != sender && receiver.side == sender.side)
                        .forEach(receiver -> receiver.members.update(update, nowNanos));
            }
            alive.forEach(vm -> vm.presence.round(nowNanos));
        }
    }

    private VmState update(String vm) {
        return VmState.newBuilder()
                .setVm(vm)
                .setIncarnation("first")
                .setSequence(++sequence)
                .setPeersAddress(vm)
                .setRoundMillis((int) ROUND_MILLIS)
                .build();
    }

    /** Returns the sum over all sides of the fraction of the rate that a side uses. */
    private double fractions() {
        Set<Integer> sides = new HashSet<>();
        double sum = 0;
        for (Vm vm : fleet) {
            if (vm.alive && sides.add(vm.side)) {
                sum += fraction(vm);
            }
        }
        return sum;
    }

    private double fraction(Vm vm) {
        return vm.members.reachableFraction(nowNanos);
    }

    @ParameterizedTest
    @CsvSource({
        "one of seven, 7, 1, true",
        "two of seven, 7, 2, true",
        "three of seven, 7, 3, true",
        "four of eight, 8, 4, true",
        "one of two, 2, 1, true",
        "thirty of 95, 95, 30, true",
        "two of seven without the platform, 7, 2, false",
        "three of seven without the platform, 7, 3, false",
    })
    void sidesOfAPartitionUseTheRateOnce(String name, int size, int cutOff, boolean reachesStore) {
        start(size);
        fleet.subList(0, cutOff).forEach(vm -> vm.side = 1);
        fleet.subList(0, cutOff).forEach(vm -> vm.reachesStore = reachesStore);
        run(DETECTION_MILLIS);
        double bound = 1 + (reachesStore ? 0 : LOST_SHARE);
        for (int round = 0; round < 400; round++) {
            run(ROUND_MILLIS);
            assertThat(fractions()).isAtMost(bound + 1e-9);
        }
        fleet.forEach(vm -> vm.side = 0);
        fleet.forEach(vm -> vm.reachesStore = true);
        run(GONE_MILLIS);
        fleet.forEach(vm -> assertThat(fraction(vm)).isEqualTo(1.0));
    }

    @Test
    void vmsThatReachNobodyUseTheRateOnce() {
        start(7);
        fleet.forEach(vm -> vm.side = fleet.indexOf(vm));
        run(DETECTION_MILLIS);
        for (int round = 0; round < 400; round++) {
            run(ROUND_MILLIS);
            assertThat(fractions()).isAtMost(1 + 1e-9);
        }
        fleet.forEach(vm -> assertThat(fraction(vm)).isAtLeast(1.0 / 7 - 1e-9));
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "7, 3", "2, 1", "8, 4", "95, 20"})
    void theShareOfVmsThatHaveGoneIsUsed(int size, int lost) {
        start(size);
        fleet.subList(size - lost, size).forEach(vm -> vm.alive = false);
        run(GONE_MILLIS);
        fleet.stream()
                .filter(vm -> vm.alive)
                .forEach(vm -> assertThat(fraction(vm)).isEqualTo(1.0));
    }

    /** An outage of the platform stops nobody: what is left of the fleet keeps its own share. */
    @Test
    void theMajorityKeepsItsShareWithoutThePlatform() {
        start(7);
        fleet.get(6).alive = false;
        fleet.forEach(vm -> vm.reachesStore = false);
        run(4 * GONE_MILLIS);
        assertThat(fraction(fleet.get(0))).isWithin(1e-9).of(6.0 / 7);
    }

    /** A VM that was taken for gone counts as soon as it is heard, and when it is silent again. */
    @Test
    void aVmThatIsBackCountsAgain() {
        start(7);
        Vm returning = fleet.get(6);
        returning.alive = false;
        run(GONE_MILLIS);
        returning.alive = true;
        run(2 * ROUND_MILLIS);
        returning.side = 1;
        run(DETECTION_MILLIS);
        for (int round = 0; round < 200; round++) {
            run(ROUND_MILLIS);
            assertThat(fractions()).isAtMost(1 + 1e-9);
        }
    }

    @Test
    void aVmWithoutUnheardPeersMakesNoCalls() {
        start(7);
        run(GONE_MILLIS);
        assertThat(store.calls().stream().filter(call -> !call.equals("create"))).isEmpty();
    }

    /** Sides, losses and heals at random moments. */
    @ParameterizedTest
    @CsvSource({"1, 2", "2, 3", "3, 7", "4, 7", "5, 7", "6, 8", "7, 12", "8, 20"})
    void theRateIsUsedOnceWhateverThePartition(long seed, int size) {
        Random random = new Random(seed);
        start(size);
        for (int change = 0; change < 25; change++) {
            int sides = 1 + random.nextInt(3);
            fleet.forEach(vm -> vm.side = random.nextInt(sides));
            run(DETECTION_MILLIS);
            int rounds = random.nextInt(250);
            for (int round = 0; round < rounds; round++) {
                run(ROUND_MILLIS);
                assertThat(fractions()).isAtMost(1 + 1e-9);
            }
        }
    }
}
