package org.bronzelug.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bronzelug.api.EndpointStatus;
import org.bronzelug.api.StatusAnswer;
import org.bronzelug.api.StatusRequest;
import org.bronzelug.api.TeamStatus;
import org.bronzelug.api.VmStatus;

/** Shows the VMs, the endpoints and the teams' rate shares as tables. Stateless. */
final class StatusCommand implements Command {
    private static final int SHORT_INCARNATION_LENGTH = 8;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String help() {
        return "show VMs, endpoints and rate shares as one VM sees them";
    }

    @Override
    public void addArguments(Subparser parser) {
        // This subcommand has no arguments of its own.
    }

    @Override
    public void run(Namespace options, CommandEnvironment environment) throws CommandException {
        StatusAnswer status =
                environment.callOperator(
                        operator -> operator.status(StatusRequest.getDefaultInstance()));
        environment.output().print(status, formatTables(status));
    }

    private static String formatTables(StatusAnswer status) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        "asked %s: %s, configuration known %d ms ago, platform %s (%d calls)%n",
                        status.getVm(),
                        status.getServing() ? "serving" : "not serving",
                        status.getFreshnessMs(),
                        status.getPlatformReachable() ? "reachable" : "unreachable",
                        status.getPlatformCalls()));
        text.append(formatRow("VM", "ZONE", "ADDRESS", "STATE", "INCARNATION"));
        for (VmStatus vm : status.getVmsList()) {
            text.append(
                    formatRow(
                            vm.getVm(),
                            vm.getAvailabilityZone(),
                            vm.getAddress(),
                            vm.getState(),
                            shorten(vm.getIncarnation())));
        }
        text.append(formatRow("POOL", "ENDPOINT", "STATE", "IN FLIGHT", "SERVED HERE"));
        for (EndpointStatus endpoint : status.getEndpointsList()) {
            text.append(
                    formatRow(
                            endpoint.getPool(),
                            endpoint.getEndpoint(),
                            endpoint.getState(),
                            Integer.toString(endpoint.getInFlight()),
                            Long.toString(endpoint.getServed())));
        }
        text.append(formatRow("TEAM", "RATE", "BURST", "HELD BY", "ADMITTED/REFUSED HERE"));
        for (TeamStatus team : status.getTeamsList()) {
            text.append(
                    formatRow(
                            team.getTeam(),
                            Double.toString(team.getTokensPerSecond()),
                            Double.toString(team.getBurstTokens()),
                            String.join(",", team.getHoldersList()),
                            team.getAdmitted() + "/" + team.getRefused()));
        }
        return text.toString().stripTrailing();
    }

    private static String formatRow(String... cells) {
        return String.format("%-16s %-16s %-22s %-14s %s%n", (Object[]) cells);
    }

    private static String shorten(String incarnation) {
        return incarnation.substring(0, Math.min(SHORT_INCARNATION_LENGTH, incarnation.length()));
    }
}
