package org.bronzelug.daemon.operator;

import com.google.protobuf.TextFormat;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.AuditEntry;
import org.bronzelug.api.ChangeAnswer;
import org.bronzelug.api.ChangeRequest;
import org.bronzelug.api.Execution;
import org.bronzelug.api.Problem;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.daemon.configuration.AuditTrail;
import org.bronzelug.daemon.configuration.ObjectKeys;
import org.bronzelug.daemon.configuration.ObjectWriter;
import org.bronzelug.daemon.control.Announcer;
import org.bronzelug.daemon.generate.ProblemCode;
import org.bronzelug.daemon.generate.RejectionException;
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.platform.PlatformException;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Applies operators' changes: read, edit, commit if unchanged, announce.
 *
 * <p>Blocking; called on traffic threads. Thread-safe: racing changes meet in the platform.
 */
@Singleton
public final class ChangeService {
    private static final int TRIES = 8;

    private final PlatformClient platform;
    private final ObjectWriter writer;
    private final Announcer announcer;
    private final SecureRandom random;

    @Inject
    public ChangeService(
            PlatformClient platform,
            ObjectWriter writer,
            Announcer announcer,
            SecureRandom random) {
        this.platform = platform;
        this.writer = writer;
        this.announcer = announcer;
        this.random = random;
    }

    /** Applies a change; the answer tells what became of it. */
    public ChangeAnswer change(ChangeRequest request) throws RejectionException {
        ConfigurationEdit edit = new ConfigurationEdit(request, random);
        String key = edit.objectKey();
        long lastVersion = 0;
        for (int attempt = 0; attempt < TRIES; attempt++) {
            Optional<VersionedObject> present = read(key);
            long version = present.map(VersionedObject::version).orElse(0L);
            if (request.getExpectedVersion() > 0 && request.getExpectedVersion() != version) {
                return conflict(key, version);
            }
            beforeWrite(request, key, present);
            ObjectWriter.Outcome outcome = write(edit, request, key, present);
            switch (outcome) {
                case ObjectWriter.Outcome.Committed committed -> {
                    return announce(committed.object(), edit);
                }
                case ObjectWriter.Outcome.Lost lost -> lastVersion = lost.presentVersion();
                case ObjectWriter.Outcome.Unknown unknown -> {
                    return problem(key, ProblemCode.CHANGE_IN_DOUBT, unknown.reason(), 0);
                }
            }
        }
        return conflict(key, lastVersion);
    }

    /**
     * A roster is changed only once the one before it is in force: see RosterKeeper. Where the
     * operator vouches that the VM is off, it can't serve an old configuration, and nobody waits.
     */
    private void beforeWrite(ChangeRequest request, String key, Optional<VersionedObject> present)
            throws RejectionException {
        boolean roster = key.equals(ObjectKeys.ROSTER) && present.isPresent();
        boolean vouchedFor = request.getRemoveVm().getSwitchedOff();
        if (roster && !vouchedFor && !announcer.announce(List.of(present.get()))) {
            throw RejectionException.notRun(
                    ProblemCode.CHANGE_NOT_CONFIRMED,
                    "the present roster is not confirmed by a majority of its VMs",
                    "start more of the roster's VMs, or vouch with --switched-off that it is off",
                    1_000);
        }
    }

    private ObjectWriter.Outcome write(
            ConfigurationEdit edit,
            ChangeRequest request,
            String key,
            Optional<VersionedObject> present)
            throws RejectionException {
        String mark = UUID.randomUUID().toString();
        long version = present.map(VersionedObject::version).orElse(0L);
        AuditEntry audit =
                AuditEntry.newBuilder()
                        .setMark(mark)
                        .setOperatorName(request.getOperatorName())
                        .setReason(request.getReason())
                        .setChange(describe(request))
                        .setTimeMs(System.currentTimeMillis())
                        .setBaseVersion(version)
                        .build();
        byte[] value = edit.apply(present.map(VersionedObject::value), audit);
        return writer.write(key, version, value, read -> AuditTrail.hasMark(key, read, mark));
    }

    private static String describe(ChangeRequest request) {
        ChangeRequest change =
                request.toBuilder()
                        .clearOperatorName()
                        .clearReason()
                        .clearExpectedVersion()
                        .build();
        return TextFormat.printer().emittingSingleLine(true).printToString(change);
    }

    private ChangeAnswer announce(VersionedObject object, ConfigurationEdit edit) {
        boolean inForce = announcer.announce(List.of(object));
        EventLog.info(LogEvent.CHANGE_COMMITTED, "object " + object + ", in force: " + inForce);
        ChangeAnswer.Builder answer =
                ChangeAnswer.newBuilder()
                        .setObject(object.key())
                        .setVersion(object.version())
                        .setInForce(inForce);
        edit.issuedKey().ifPresent(answer::setKey);
        if (!inForce) {
            answer.setProblem(
                    Problem.newBuilder()
                            .setCode(ProblemCode.CHANGE_NOT_CONFIRMED.name())
                            .setMessage("committed, but no majority of the VMs has confirmed it")
                            .setRemedy("look at `bronzelug status`; it comes into force by itself")
                            .setExecution(Execution.RAN));
        }
        return answer.build();
    }

    private Optional<VersionedObject> read(String key) throws RejectionException {
        try {
            return platform.get(key);
        } catch (PlatformException failed) {
            throw RejectionException.notRun(
                    ProblemCode.CHANGE_IN_DOUBT,
                    "nothing was changed: " + failed.getMessage(),
                    "ask again when the platform answers",
                    1_000);
        }
    }

    private static ChangeAnswer conflict(String key, long version) {
        return problem(
                key,
                ProblemCode.CONFIGURATION_CONFLICT,
                "another change came first; the object is at version " + version,
                version);
    }

    private static ChangeAnswer problem(
            String key, ProblemCode code, String message, long version) {
        EventLog.warn(LogEvent.CHANGE_REFUSED, "object " + key + ", " + message);
        boolean notRun = code == ProblemCode.CONFIGURATION_CONFLICT;
        return ChangeAnswer.newBuilder()
                .setObject(key)
                .setVersion(version)
                .setProblem(
                        Problem.newBuilder()
                                .setCode(code.name())
                                .setMessage(message)
                                .setRemedy("look at the object's audit, then decide anew")
                                .setExecution(notRun ? Execution.NOT_RUN : Execution.IN_DOUBT)
                                .setCurrentVersion(version))
                .build();
    }

    /** The audit entries of an object, as committed now. */
    public List<AuditEntry> audit(String key) throws RejectionException {
        try {
            Optional<VersionedObject> object = read(key);
            return object.isEmpty() ? List.of() : AuditTrail.entries(key, object.get().value());
        } catch (com.google.protobuf.InvalidProtocolBufferException unreadable) {
            throw RejectionException.notRun(
                    ProblemCode.NOT_FOUND, "the object can't be read", "see event 203", 0);
        }
    }
}
