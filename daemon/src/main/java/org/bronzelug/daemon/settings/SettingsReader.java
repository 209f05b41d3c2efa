package org.bronzelug.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads and validates a settings file, which is JSON with comments. All fields are validated before
 * the daemon uses any.
 *
 * <p>Not thread-safe: one reader reads one file.
 */
public final class SettingsReader {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}");
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                    .build();

    private final String file;
    private final List<String> lines;

    private SettingsReader(String file, List<String> lines) {
        this.file = file;
        this.lines = lines;
    }

    /** Reads and validates a settings file. */
    public static Settings read(Path path) throws SettingsException {
        try {
            String text = Files.readString(path);
            return new SettingsReader(path.toString(), text.lines().toList()).parse(text);
        } catch (IOException unreadable) {
            throw new SettingsException(
                    path.toString(),
                    0,
                    "",
                    "no readable file",
                    "a settings file",
                    "give the path of a readable file");
        }
    }

    private Settings parse(String text) throws SettingsException {
        JsonNode root = readTree(text);
        checkFields(
                root,
                "",
                Set.of("vm", "availabilityZone", "listen", "platformUrl", "peerSecretFile"),
                Set.of("advertise", "seedPeers", "operatorSecretFile", "limits"));
        JsonNode listen = root.get("listen");
        checkFields(listen, "listen", Set.of("callers", "peers", "monitor"), Set.of());
        return new Settings(
                text(root, "vm", NAME, "a name of a-z, 0-9 and -"),
                text(root, "availabilityZone", NAME, "a name of a-z, 0-9 and -"),
                new Settings.Listen(
                        address(listen, "callers"),
                        address(listen, "peers"),
                        address(listen, "monitor")),
                advertise(root.path("advertise")),
                text(root, "platformUrl", Pattern.compile("https?://.+"), "an HTTP or HTTPS URL"),
                addresses(root),
                text(root, "peerSecretFile", Pattern.compile(".+"), "a file's path"),
                root.has("operatorSecretFile")
                        ? text(root, "operatorSecretFile", Pattern.compile(".+"), "a file's path")
                        : "",
                limits(root.path("limits")));
    }

    private Settings.Advertise advertise(JsonNode node) throws SettingsException {
        if (node.isMissingNode()) {
            return new Settings.Advertise(Optional.empty(), Optional.empty());
        }
        checkFields(node, "advertise", Set.of(), Set.of("callers", "peers"));
        return new Settings.Advertise(
                node.has("callers") ? Optional.of(address(node, "callers")) : Optional.empty(),
                node.has("peers") ? Optional.of(address(node, "peers")) : Optional.empty());
    }

    private JsonNode readTree(String text) throws SettingsException {
        try {
            JsonNode root = JSON.readTree(text);
            if (root == null || !root.isObject()) {
                throw invalid("", "no JSON object", "one JSON object", "see examples/");
            }
            return root;
        } catch (JsonProcessingException malformed) {
            JsonLocation at = malformed.getLocation();
            throw new SettingsException(
                    file,
                    at == null ? 0 : at.getLineNr(),
                    "",
                    malformed.getOriginalMessage(),
                    "JSON with comments",
                    "correct the syntax on this line");
        }
    }

    private Settings.Limits limits(JsonNode node) throws SettingsException {
        if (!node.isMissingNode()) {
            Set<String> known = new TreeSet<>();
            for (LimitField field : LimitField.values()) {
                known.add(field.fieldName());
            }
            checkFields(node, "limits", Set.of(), known);
        }
        return new Settings.Limits(
                number(node, LimitField.FRESHNESS_MILLIS),
                number(node, LimitField.PROBE_MILLIS),
                number(node, LimitField.REQUEST_DEADLINE_MILLIS),
                number(node, LimitField.RUNNER_SILENCE_MILLIS),
                number(node, LimitField.DRAIN_MILLIS),
                number(node, LimitField.STEER_MILLIS),
                (int) number(node, LimitField.STREAMS_PER_RUNNER),
                (int) number(node, LimitField.WAITING_REQUESTS),
                (int) number(node, LimitField.MAXIMUM_REQUEST_BYTES),
                (int) number(node, LimitField.MAXIMUM_PEER_FRAME_BYTES));
    }

    private long number(JsonNode node, LimitField field) throws SettingsException {
        JsonNode value = node.path(field.fieldName());
        if (value.isMissingNode()) {
            return field.defaultValue();
        }
        boolean valid =
                value.isIntegralNumber()
                        && value.asLong() >= field.minimum()
                        && value.asLong() <= field.maximum();
        if (!valid) {
            String range = "an integer from " + field.minimum() + " to " + field.maximum();
            throw invalid(
                    field.fieldName(), value.toString(), range, "leave it out for the default");
        }
        return value.asLong();
    }

    private List<String> addresses(JsonNode root) throws SettingsException {
        List<String> addresses = new ArrayList<>();
        JsonNode list = root.path("seedPeers");
        if (!list.isMissingNode() && !list.isArray()) {
            throw invalid(
                    "seedPeers", list.toString(), "a list of addresses", "write [\"IP:port\"]");
        }
        for (JsonNode address : list) {
            if (!ADDRESS.matcher(address.asText()).matches()) {
                throw invalid(
                        "seedPeers",
                        address.toString(),
                        "an address of the form IP:port",
                        "use an IP address, not a host name");
            }
            addresses.add(address.asText());
        }
        return addresses;
    }

    private String address(JsonNode node, String field) throws SettingsException {
        return text(node, field, ADDRESS, "an address of the form IP:port");
    }

    private String text(JsonNode node, String field, Pattern pattern, String expected)
            throws SettingsException {
        JsonNode value = node.get(field);
        if (!value.isTextual() || !pattern.matcher(value.asText()).matches()) {
            throw invalid(field, value.toString(), expected, "change the value");
        }
        return value.asText();
    }

    private void checkFields(
            JsonNode node, String objectName, Set<String> required, Set<String> optional)
            throws SettingsException {
        if (!node.isObject()) {
            throw invalid(objectName, node.toString(), "an object", "see examples/");
        }
        for (String field : required) {
            if (!node.has(field)) {
                throw invalid(field, "nothing", "a value", "add the field");
            }
        }
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!required.contains(name) && !optional.contains(name)) {
                Set<String> known = new TreeSet<>(required);
                known.addAll(optional);
                throw invalid(name, "an unknown field", "one of " + known, "remove or rename it");
            }
        }
    }

    private SettingsException invalid(String field, String actual, String expected, String remedy) {
        return new SettingsException(file, lineOf(field), field, actual, expected, remedy);
    }

    private int lineOf(String field) {
        for (int index = 0; index < lines.size(); index++) {
            if (!field.isEmpty() && lines.get(index).contains("\"" + field + "\"")) {
                return index + 1;
            }
        }
        return 1;
    }
}
