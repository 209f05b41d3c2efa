package org.bronzelug.daemon.operator;

import io.grpc.stub.StreamObserver;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.AuditAnswer;
import org.bronzelug.api.AuditRequest;
import org.bronzelug.api.ChangeAnswer;
import org.bronzelug.api.ChangeRequest;
import org.bronzelug.api.OperatorGrpc;
import org.bronzelug.api.StatusAnswer;
import org.bronzelug.api.StatusRequest;
import org.bronzelug.daemon.caller.Problems;
import org.bronzelug.daemon.generate.RejectionException;

/** gRPC service for operators. Each call must carry the operators' secret. Thread-safe. */
@Singleton
public final class OperatorCalls extends OperatorGrpc.OperatorImplBase {
    private final OperatorSecret secret;
    private final ChangeService changes;
    private final StatusReporter reporter;

    @Inject
    public OperatorCalls(OperatorSecret secret, ChangeService changes, StatusReporter reporter) {
        this.secret = secret;
        this.changes = changes;
        this.reporter = reporter;
    }

    @Override
    public void change(ChangeRequest request, StreamObserver<ChangeAnswer> observer) {
        try {
            secret.check();
            finish(observer, changes.change(request));
        } catch (RejectionException rejected) {
            finish(observer, ChangeAnswer.newBuilder().setProblem(rejected.problem()).build());
        }
    }

    @Override
    public void audit(AuditRequest request, StreamObserver<AuditAnswer> observer) {
        try {
            secret.check();
            finish(
                    observer,
                    AuditAnswer.newBuilder()
                            .addAllEntries(changes.audit(request.getObject()))
                            .build());
        } catch (RejectionException rejected) {
            finish(observer, AuditAnswer.newBuilder().setProblem(rejected.problem()).build());
        }
    }

    @Override
    public void status(StatusRequest request, StreamObserver<StatusAnswer> observer) {
        try {
            secret.check();
            finish(observer, reporter.status());
        } catch (RejectionException rejected) {
            observer.onError(Problems.toStatus(rejected.problem()));
        }
    }

    private static <T> void finish(StreamObserver<T> observer, T response) {
        observer.onNext(response);
        observer.onCompleted();
    }
}
