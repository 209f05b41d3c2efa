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
 * Applies operators' changes with optimistic concurrency: reads an object, edits it, writes it if
 * its version is unchanged, and announces it to the other VMs.
 *
 * <p>Blocking; called on request threads. Thread-safe: the platform's conditional write decides
 * between concurrent changes.
 */
@Singleton
public final class ChangeService {
    private static final int MAXIMUM_ATTEMPTS = 8;

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

    /** Applies a change and returns its result. */
    public ChangeAnswer change(ChangeRequest request) throws RejectionException {
        ConfigurationEdit edit = new ConfigurationEdit(request, random);
        String key = edit.objectKey();
        long lastVersion = 0;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            Optional<VersionedObject> current = read(key);
            long version = current.map(VersionedObject::version).orElse(0L);
            if (request.getExpectedVersion() > 0 && request.getExpectedVersion() != version) {
                return conflict(key, version);
            }
            requireConfirmedRoster(request, key, current);
            ObjectWriter.Outcome outcome = write(edit, request, key, current);
            switch (outcome) {
                case ObjectWriter.Outcome.Committed committed -> {
                    return announce(committed.object(), edit);
                }
                case ObjectWriter.Outcome.Conflict conflict ->
                        lastVersion = conflict.currentVersion();
                case ObjectWriter.Outcome.Unknown unknown -> {
                    return problem(key, ProblemCode.CHANGE_IN_DOUBT, unknown.reason(), 0);
                }
            }
        }
        return conflict(key, lastVersion);
    }

    /**
     * Before a change of the roster, requires that a majority of the VMs has confirmed the current
     * one (the reason is in RosterKeeper). This is not required if the operator declares that the
     * removed VM is switched off, because such a VM can't serve an old configuration.
     */
    private void requireConfirmedRoster(
            ChangeRequest request, String key, Optional<VersionedObject> current)
            throws RejectionException {
        boolean roster = key.equals(ObjectKeys.ROSTER) && current.isPresent();
        boolean switchedOff = request.getRemoveVm().getSwitchedOff();
        if (roster && !switchedOff && !announcer.announce(List.of(current.get()))) {
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
            Optional<VersionedObject> current)
            throws RejectionException {
        String mark = UUID.randomUUID().toString();
        long version = current.map(VersionedObject::version).orElse(0L);
        AuditEntry audit =
                AuditEntry.newBuilder()
                        .setMark(mark)
                        .setOperatorName(request.getOperatorName())
                        .setReason(request.getReason())
                        .setChange(describe(request))
                        .setTimeMs(System.currentTimeMillis())
                        .setBaseVersion(version)
                        .build();
        byte[] value = edit.apply(current.map(VersionedObject::value), audit);
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
        ChangeAnswer.Builder response =
                ChangeAnswer.newBuilder()
                        .setObject(object.key())
                        .setVersion(object.version())
                        .setInForce(inForce);
        edit.issuedKey().ifPresent(response::setKey);
        if (!inForce) {
            response.setProblem(
                    Problem.newBuilder()
                            .setCode(ProblemCode.CHANGE_NOT_CONFIRMED.name())
                            .setMessage("committed, but no majority of the VMs has confirmed it")
                            .setRemedy("look at `bronzelug status`; it comes into force by itself")
                            .setExecution(Execution.RAN));
        }
        return response.build();
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

    /** Reads the audit trail of an object from its committed value. */
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
