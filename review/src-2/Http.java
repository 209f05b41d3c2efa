import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages on plain sockets. */
final class Http {
    /** A request or response: its first line, its fields by lower-case name, and its body. */
    record Message(String line, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }
    }

    private Http() {}

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("closed within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the fields; null if the connection was closed before. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        String field;
        while ((field = readLine(in)) != null && !field.isEmpty()) {
            int colon = field.indexOf(':');
            fields.put(
                    field.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        return new Message(line, fields, new byte[0]);
    }

    /** Reads a message with a length, chunks or no body; null if the connection was closed. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        byte[] body;
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = readChunk(in)).length > 0) {
                all.write(chunk);
            }
            body = all.toByteArray();
        } else {
            String length = head.field("content-length");
            body = exactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
        }
        return new Message(head.line(), head.fields(), body);
    }

    /** Reads a chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("closed between chunks");
        }
        byte[] chunk = exactly(in, Integer.parseInt(size.strip(), 16));
        readLine(in);
        return chunk;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("closed within a body");
        }
        return bytes;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        out.write(all);
        out.flush();
    }

    static String fields(Map<String, String> fields) {
        StringBuilder built = new StringBuilder();
        fields.forEach((name, value) -> built.append(name).append(": ").append(value).append("\r\n"));
        return built.toString();
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 65_536);
    }
}
