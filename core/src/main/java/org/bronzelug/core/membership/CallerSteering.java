package org.bronzelug.core.membership;

import java.util.Collection;
import java.util.List;

/**
 * Chooses the VMs that callers are to connect to: those of the caller's availability zone, and
 * among them the ones with the most processor time. Answers the load of a large fleet of unequal
 * VMs.
 *
 * <p>Callers choose among the named VMs at random. If all were named, a small VM would get as many
 * requests as one with four times its processor time, and each VM would get so few that its code
 * stays interpreted and its connections to runners expire unused.
 *
 * <p>Invariant: at least {@link #MINIMUM_VMS} VMs are named if there are as many. Stateless and
 * thread-safe.
 */
public final class CallerSteering {
    /** Callers skip addresses that have failed, so they need at least two. */
    private static final int MINIMUM_VMS = 2;

    /** VMs with this part of the largest VM's processor time take requests as well. */
    private static final double LARGE_FRACTION = 0.5;

    /** The large VMs take all requests only if they have this part of the processor time. */
    private static final double SUFFICIENT_FRACTION = 0.25;

    private CallerSteering() {}

    /**
     * A VM that serves callers.
     *
     * @param address where callers connect, IP:port
     * @param processorCapacity processor time that the VM has, in cores
     * @param overloaded whether requests wait for the VM's processor
     */
    public record Candidate(
            String address,
            String availabilityZone,
            double processorCapacity,
            boolean overloaded) {}

    /** Returns the addresses that callers of an availability zone are to use. */
    public static List<String> addresses(Collection<Candidate> vms, Collection<String> zones) {
        List<Candidate> inZone =
                vms.stream().filter(vm -> zones.contains(vm.availabilityZone())).toList();
        List<Candidate> near = inZone.size() >= MINIMUM_VMS ? inZone : List.copyOf(vms);
        List<Candidate> large = large(near);
        boolean sufficient =
                large.size() >= MINIMUM_VMS
                        && large.stream().noneMatch(Candidate::overloaded)
                        && capacity(large) >= SUFFICIENT_FRACTION * capacity(near);
        return (sufficient ? large : near).stream().map(Candidate::address).toList();
    }

    private static List<Candidate> large(List<Candidate> vms) {
        double largest = vms.stream().mapToDouble(Candidate::processorCapacity).max().orElse(0);
        return vms.stream()
                .filter(vm -> vm.processorCapacity() >= LARGE_FRACTION * largest)
                .toList();
    }

    private static double capacity(List<Candidate> vms) {
        return vms.stream().mapToDouble(Candidate::processorCapacity).sum();
    }
}
