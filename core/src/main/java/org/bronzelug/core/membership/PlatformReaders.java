package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which VMs read the configuration from the platform and from which VMs all others read it.
 *
 * <p>Each call to the platform is paid for, and the call rate that it admits grows more slowly than
 * the fleet. So in a large fleet only a few VMs, the readers, watch the platform; all other VMs
 * read from them. Each VM decides for itself, from the VMs that it can reach; if two VMs disagree,
 * one more VM than necessary reads from the platform.
 *
 * <p>If all readers were cut off and not replaced, the fleet would keep serving with withdrawn
 * keys. Therefore readers are spread over the availability zones, two per zone if there are few
 * zones; a reader that cannot reach the platform keeps trying, and the next VMs of its zone read in
 * addition; and a VM that can reach no reader reads from the platform itself. Stateless and
 * thread-safe.
 */
public final class PlatformReaders {
    /**
     * The largest fleet in which every VM reads from the platform: sharing readers would save few
     * calls there, and any reader may fail.
     */
    public static final int SMALL_FLEET = 10;

    /**
     * The minimum number of readers in the fleet: while one is cut off, another may be restarting
     * or suspended.
     */
    private static final int MINIMUM_READERS = 4;

    /** The number of readers per zone if there are fewer zones than {@link #MINIMUM_READERS}. */
    private static final int MAXIMUM_PER_ZONE = 2;

    /**
     * The number of VMs per zone among which readers are chosen. It limits how many VMs replace
     * readers that are cut off, so that an outage of the platform does not make the whole fleet
     * call it.
     */
    private static final int CANDIDATES_PER_ZONE = 4;

    private static final String KEY = "platform-readers";

    private PlatformReaders() {}

    /**
     * A VM among which the readers are chosen.
     *
     * @param name of the VM
     * @param availabilityZone in which the VM runs
     * @param address at which peers read from the VM
     * @param readsPlatform whether the VM reads from the platform and reaches it
     * @param platformUnreachable whether the VM tries to read from the platform and does not reach
     *     it
     */
    public record Candidate(
            String name,
            String availabilityZone,
            String address,
            boolean readsPlatform,
            boolean platformUnreachable) {}

    /**
     * Returns whether a VM is to read from the platform.
     *
     * @param self the VM
     * @param reachable the other VMs that it can reach
     * @param fleetSize number of VMs whose addresses are known, reachable or not
     */
    public static boolean isReader(Candidate self, Collection<Candidate> reachable, int fleetSize) {
        if (fleetSize <= SMALL_FLEET || reachable.isEmpty()) {
            return true;
        }
        int readers = readersPerZone(self, reachable);
        List<Candidate> zone = zone(self, reachable);
        List<String> ranked = ranked(zone);
        List<String> candidates = ranked.subList(0, Math.min(CANDIDATES_PER_ZONE, ranked.size()));
        if (isRankedWithin(self.name(), candidates, readers)) {
            return true;
        }
        List<String> reachingPlatform =
                candidates.stream().filter(name -> !hasLostPlatform(name, zone)).toList();
        return isRankedWithin(self.name(), reachingPlatform, readers);
    }

    /**
     * Returns the rank of a VM among the VMs of its zone; the VM with rank 0 is the first to read
     * from the platform. VMs that start together, with no reader reachable yet, begin to read one
     * after the other in this order.
     *
     * @param known the other VMs that are registered or reachable
     */
    public static int rank(Candidate self, Collection<Candidate> known) {
        return ranked(zone(self, known)).indexOf(self.name());
    }

    /**
     * Returns whether a VM checks, for the whole fleet, that no watch of the platform has missed a
     * change. The first VM, in rendezvous order, of those that reach the platform does so; if two
     * VMs disagree, both check.
     */
    public static boolean isChecker(Candidate self, Collection<Candidate> reachable) {
        List<String> reachingPlatform =
                reachable.stream()
                        .filter(other -> other.readsPlatform() && !other.platformUnreachable())
                        .map(Candidate::name)
                        .collect(Collectors.toCollection(ArrayList::new));
        reachingPlatform.add(self.name());
        return self.readsPlatform()
                && Rendezvous.order(KEY, reachingPlatform).get(0).equals(self.name());
    }

    private static List<Candidate> zone(Candidate self, Collection<Candidate> candidates) {
        List<Candidate> zone = new ArrayList<>();
        zone.add(self);
        candidates.stream()
                .filter(other -> other.availabilityZone().equals(self.availabilityZone()))
                .forEach(zone::add);
        return zone;
    }

    private static List<String> ranked(List<Candidate> zone) {
        return Rendezvous.order(KEY, zone.stream().map(Candidate::name).distinct().toList());
    }

    private static int readersPerZone(Candidate self, Collection<Candidate> reachable) {
        Set<String> zones = new HashSet<>();
        zones.add(self.availabilityZone());
        reachable.forEach(other -> zones.add(other.availabilityZone()));
        return zones.size() >= MINIMUM_READERS ? 1 : MAXIMUM_PER_ZONE;
    }

    private static boolean isRankedWithin(String name, List<String> ranked, int readers) {
        int rank = ranked.indexOf(name);
        return rank >= 0 && rank < readers;
    }

    private static boolean hasLostPlatform(String name, List<Candidate> zone) {
        return zone.stream()
                .anyMatch(other -> other.name().equals(name) && other.platformUnreachable());
    }

    /**
     * Returns the VMs to read from, in order of preference: VMs of the same zone first, and within
     * a zone in an order that spreads the reading VMs over the readers.
     */
    public static List<Candidate> sources(Candidate self, Collection<Candidate> reachable) {
        return reachable.stream()
                .filter(other -> other.readsPlatform() && !other.platformUnreachable())
                .sorted(
                        Comparator.comparing(
                                        (Candidate other) ->
                                                !other.availabilityZone()
                                                        .equals(self.availabilityZone()))
                                .thenComparing(
                                        Comparator.comparingLong(
                                                        (Candidate other) ->
                                                                Rendezvous.weight(
                                                                        self.name(), other.name()))
                                                .reversed()))
                .toList();
    }
}
