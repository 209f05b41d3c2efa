package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which VMs read the platform themselves, and from whom the others read.
 *
 * <p>Each call to the platform is paid for and its rates grow more slowly than the fleet, so in a
 * large fleet a few VMs, spread over the availability zones, watch the platform and the others read
 * from them. Each VM decides for itself from the VMs that it hears; where two disagree, one too
 * many reads.
 *
 * <p>The failure that the choice guards against: all readers are cut off, and the fleet goes on
 * with withdrawn keys. Readers are spread over zones, two in each where the zones are few; a reader
 * that does not reach the platform goes on trying and is replaced by the next ones; a VM that hears
 * no reader reads itself. Stateless and thread-safe.
 */
public final class PlatformReaders {
    /** Up to so many VMs, each reads: the calls saved are few, and any reader may fail. */
    public static final int SMALL_FLEET = 10;

    /** Readers of the whole fleet: some may be restarted or frozen just when another is cut off. */
    private static final int LEAST_READERS = 4;

    /** Where the zones are fewer than the readers, each has two. */
    private static final int MOST_PER_ZONE = 2;

    /**
     * Bounds who takes the place of readers that are cut off, so that an outage of the platform
     * does not bring the whole fleet to it.
     */
    private static final int CANDIDATES_PER_ZONE = 4;

    private static final String KEY = "platform-readers";

    private PlatformReaders() {}

    /**
     * A VM that is heard.
     *
     * @param name of the VM
     * @param availabilityZone where it runs
     * @param address where peers read from it
     * @param reads whether it reads the platform and reaches it
     * @param lost whether it tries to and does not reach it
     */
    public record Candidate(
            String name, String availabilityZone, String address, boolean reads, boolean lost) {}

    /**
     * Whether a VM is to read the platform.
     *
     * @param self the VM
     * @param heard the other VMs that are heard
     * @param fleetSize VMs whose addresses are known, heard or not
     */
    public static boolean isReader(Candidate self, Collection<Candidate> heard, int fleetSize) {
        if (fleetSize <= SMALL_FLEET || heard.isEmpty()) {
            return true;
        }
        int readers = readersPerZone(self, heard);
        List<Candidate> zone = zone(self, heard);
        List<String> ranked = ranked(zone);
        List<String> candidates = ranked.subList(0, Math.min(CANDIDATES_PER_ZONE, ranked.size()));
        if (isRankedWithin(self.name(), candidates, readers)) {
            return true;
        }
        List<String> reaching = candidates.stream().filter(name -> !isLost(name, zone)).toList();
        return isRankedWithin(self.name(), reaching, readers);
    }

    /**
     * The place of a VM among those of its zone, 0 for the one that reads first. VMs that start
     * together and hear no reader yet read one after the other in this order.
     *
     * @param known the other VMs that are registered or heard
     */
    public static int rank(Candidate self, Collection<Candidate> known) {
        return ranked(zone(self, known)).indexOf(self.name());
    }

    /**
     * Whether a VM checks for all that no change was missed: the first of those that reach the
     * platform. Where two VMs disagree, both check.
     */
    public static boolean isChecker(Candidate self, Collection<Candidate> heard) {
        List<String> reaching =
                heard.stream()
                        .filter(other -> other.reads() && !other.lost())
                        .map(Candidate::name)
                        .collect(Collectors.toCollection(ArrayList::new));
        reaching.add(self.name());
        return self.reads() && Rendezvous.order(KEY, reaching).get(0).equals(self.name());
    }

    private static List<Candidate> zone(Candidate self, Collection<Candidate> others) {
        List<Candidate> zone = new ArrayList<>();
        zone.add(self);
        others.stream()
                .filter(other -> other.availabilityZone().equals(self.availabilityZone()))
                .forEach(zone::add);
        return zone;
    }

    private static List<String> ranked(List<Candidate> zone) {
        return Rendezvous.order(KEY, zone.stream().map(Candidate::name).distinct().toList());
    }

    private static int readersPerZone(Candidate self, Collection<Candidate> heard) {
        Set<String> zones = new HashSet<>();
        zones.add(self.availabilityZone());
        heard.forEach(other -> zones.add(other.availabilityZone()));
        return zones.size() >= LEAST_READERS ? 1 : MOST_PER_ZONE;
    }

    private static boolean isRankedWithin(String name, List<String> ranked, int readers) {
        int rank = ranked.indexOf(name);
        return rank >= 0 && rank < readers;
    }

    private static boolean isLost(String name, List<Candidate> zone) {
        return zone.stream().anyMatch(other -> other.name().equals(name) && other.lost());
    }

    /** The VMs to read from, the best first: near ones before others, spread over the readers. */
    public static List<Candidate> sources(Candidate self, Collection<Candidate> heard) {
        return heard.stream()
                .filter(other -> other.reads() && !other.lost())
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
