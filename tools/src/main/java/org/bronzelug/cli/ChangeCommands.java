package org.bronzelug.cli;

import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bronzelug.api.ChangeRequest;
import org.bronzelug.api.IssueKey;
import org.bronzelug.api.JoinEndpoint;
import org.bronzelug.api.LeaveEndpoint;
import org.bronzelug.api.OrderWeights;
import org.bronzelug.api.PoolKind;
import org.bronzelug.api.RemoveVm;
import org.bronzelug.api.SetPool;
import org.bronzelug.api.SetTeam;
import org.bronzelug.api.WithdrawKey;

/** The subcommands that change the configuration. Stateless. */
final class ChangeCommands {
    private ChangeCommands() {}

    static List<Command> all() {
        return List.of(
                new ChangeCommand(
                        "set-team",
                        "create a team or change its rate",
                        ChangeCommands::teamArguments,
                        ChangeCommands::setTeam),
                new ChangeCommand(
                        "issue-key",
                        "issue a key; it is shown only once",
                        ChangeCommands::keyArguments,
                        ChangeCommands::issueKey),
                new ChangeCommand(
                        "withdraw-key",
                        "withdraw a key",
                        ChangeCommands::keyArguments,
                        ChangeCommands::withdrawKey),
                new ChangeCommand(
                        "set-pool",
                        "create or change an endpoint pool",
                        ChangeCommands::poolArguments,
                        ChangeCommands::setPool),
                new ChangeCommand(
                        "join-endpoint",
                        "add an endpoint to a pool",
                        ChangeCommands::joinArguments,
                        ChangeCommands::join),
                new ChangeCommand(
                        "leave-endpoint",
                        "stop sending new requests to an endpoint",
                        ChangeCommands::endpointArguments,
                        ChangeCommands::leave),
                new ChangeCommand(
                        "order-weights",
                        "order a pool's runners to load a version of the weights",
                        ChangeCommands::weightsArguments,
                        ChangeCommands::orderWeights),
                new ChangeCommand(
                        "remove-vm",
                        "remove a permanently lost VM from the roster",
                        ChangeCommands::removeArguments,
                        ChangeCommands::removeVm));
    }

    private static void removeArguments(Subparser parser) {
        parser.addArgument("vm").help("name of the VM");
        parser.addArgument("--switched-off")
                .action(Arguments.storeTrue())
                .help("confirm that the VM is off; required if a majority of the roster is lost");
    }

    private static void removeVm(Namespace options, ChangeRequest.Builder request) {
        request.setRemoveVm(
                RemoveVm.newBuilder()
                        .setVm(options.getString("vm"))
                        .setSwitchedOff(options.getBoolean("switched_off")));
    }

    private static void teamArguments(Subparser parser) {
        parser.addArgument("team").help("name of the team");
        parser.addArgument("--rate").type(Double.class).required(true).help("tokens per second");
        parser.addArgument("--burst")
                .type(Double.class)
                .required(true)
                .help("burst size in tokens");
    }

    private static void setTeam(Namespace options, ChangeRequest.Builder request) {
        request.setSetTeam(
                SetTeam.newBuilder()
                        .setTeam(options.getString("team"))
                        .setTokensPerSecond(options.getDouble("rate"))
                        .setBurstTokens(options.getDouble("burst")));
    }

    private static void keyArguments(Subparser parser) {
        parser.addArgument("team").help("name of the team");
        parser.addArgument("key").help("name of the key, not the key itself");
    }

    private static void issueKey(Namespace options, ChangeRequest.Builder request) {
        request.setIssueKey(
                IssueKey.newBuilder()
                        .setTeam(options.getString("team"))
                        .setKeyName(options.getString("key")));
    }

    private static void withdrawKey(Namespace options, ChangeRequest.Builder request) {
        request.setWithdrawKey(
                WithdrawKey.newBuilder()
                        .setTeam(options.getString("team"))
                        .setKeyName(options.getString("key")));
    }

    private static void poolArguments(Subparser parser) {
        parser.addArgument("pool").help("name of the pool");
        parser.addArgument("--kind").choices("model", "application").required(true);
        parser.addArgument("--model").setDefault("").help("model that the pool's runners serve");
        parser.addArgument("--weights").type(Long.class).setDefault(1L).help("weights version");
        parser.addArgument("--concurrent-loads")
                .type(Integer.class)
                .setDefault(2)
                .help("maximum number of concurrent weight loads");
        parser.addArgument("--deduplicates")
                .action(Arguments.storeTrue())
                .help("the endpoints themselves reject a second run of an action id");
        parser.addArgument("--checks-fencing")
                .action(Arguments.storeTrue())
                .help("the endpoints reject orders with an outdated fencing number");
    }

    private static void setPool(Namespace options, ChangeRequest.Builder request) {
        boolean model = options.getString("kind").equals("model");
        request.setSetPool(
                SetPool.newBuilder()
                        .setPool(options.getString("pool"))
                        .setKind(model ? PoolKind.MODEL : PoolKind.APPLICATION)
                        .setModel(options.getString("model"))
                        .setWeightsVersion(options.getLong("weights"))
                        .setConcurrentLoads(options.getInt("concurrent_loads"))
                        .setDeduplicates(options.getBoolean("deduplicates"))
                        .setChecksFencing(options.getBoolean("checks_fencing")));
    }

    private static void endpointArguments(Subparser parser) {
        parser.addArgument("pool").help("name of the pool");
        parser.addArgument("endpoint").help("name of the endpoint");
    }

    private static void joinArguments(Subparser parser) {
        endpointArguments(parser);
        parser.addArgument("url").help("http://IP:port");
    }

    private static void join(Namespace options, ChangeRequest.Builder request) {
        request.setJoinEndpoint(
                JoinEndpoint.newBuilder()
                        .setPool(options.getString("pool"))
                        .setEndpoint(options.getString("endpoint"))
                        .setUrl(options.getString("url")));
    }

    private static void leave(Namespace options, ChangeRequest.Builder request) {
        request.setLeaveEndpoint(
                LeaveEndpoint.newBuilder()
                        .setPool(options.getString("pool"))
                        .setEndpoint(options.getString("endpoint")));
    }

    private static void weightsArguments(Subparser parser) {
        parser.addArgument("pool").help("name of the pool");
        parser.addArgument("weights").type(Long.class).help("weights version");
    }

    private static void orderWeights(Namespace options, ChangeRequest.Builder request) {
        request.setOrderWeights(
                OrderWeights.newBuilder()
                        .setPool(options.getString("pool"))
                        .setWeightsVersion(options.getLong("weights")));
    }
}
