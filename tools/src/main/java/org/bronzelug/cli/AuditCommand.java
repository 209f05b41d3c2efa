package org.bronzelug.cli;

import java.time.Instant;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bronzelug.api.AuditAnswer;
import org.bronzelug.api.AuditEntry;
import org.bronzelug.api.AuditRequest;

/** Shows who changed an object, when and why. Stateless. */
final class AuditCommand implements Command {
    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String help() {
        return "show the audit trail of an object";
    }

    @Override
    public void addArguments(Subparser parser) {
        parser.addArgument("object").help("team/NAME, pool/NAME or roster");
    }

    @Override
    public void run(Namespace options, CommandEnvironment environment) throws CommandException {
        AuditRequest request =
                AuditRequest.newBuilder().setObject(options.getString("object")).build();
        AuditAnswer answer = environment.callOperator(operator -> operator.audit(request));
        CommandEnvironment.throwIfPresent(answer.hasProblem(), answer.getProblem());
        StringBuilder text = new StringBuilder();
        for (AuditEntry entry : answer.getEntriesList()) {
            text.append(
                    String.format(
                            "%s  after version %d  %s  %s  (%s)%n",
                            Instant.ofEpochMilli(entry.getTimeMs()),
                            entry.getBaseVersion(),
                            entry.getOperatorName(),
                            entry.getChange(),
                            entry.getReason()));
        }
        environment.output().print(answer, text.toString().stripTrailing());
    }
}
