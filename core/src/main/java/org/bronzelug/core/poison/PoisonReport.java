package org.bronzelug.core.poison;

import java.util.List;
import java.util.Set;

/**
 * What one VM reports to the others of crashes and parts. Immutable.
 *
 * @param crashes crashes of endpoints, with the parts of the VM's own requests there
 * @param survivals parts that are suspected and that endpoints have survived
 * @param waiting suspected parts that the VM has sent to endpoints which have not begun to respond
 * @param begun suspected parts that endpoints have begun to respond to, with unknown outcome
 * @param quarantines the parts under quarantine
 */
public record PoisonReport(
        List<EndpointCrash> crashes,
        List<Survival> survivals,
        Set<PartKey> waiting,
        Set<PartKey> begun,
        List<QuarantinedParts> quarantines) {
    public PoisonReport {
        crashes = List.copyOf(crashes);
        survivals = List.copyOf(survivals);
        waiting = Set.copyOf(waiting);
        begun = Set.copyOf(begun);
        quarantines = List.copyOf(quarantines);
    }

    /** A part that an endpoint of a software version has survived. Immutable. */
    public record Survival(PartKey part, String softwareVersion) {}

    /** Returns whether the report contains more than what the VM has in progress. */
    boolean hasItems() {
        return !(crashes.isEmpty() && survivals.isEmpty() && quarantines.isEmpty());
    }
}
