import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader and writer for the stand-ins: objects are maps, arrays are lists. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blanks();
        char next = text.charAt(at);
        switch (next) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                blanks();
                while (text.charAt(at) != '}') {
                    blanks();
                    String name = string();
                    blanks();
                    at++; // colon
                    map.put(name, value());
                    blanks();
                    if (text.charAt(at) == ',') {
                        at++;
                        blanks();
                    }
                }
                at++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                at++;
                blanks();
                while (text.charAt(at) != ']') {
                    list.add(value());
                    blanks();
                    if (text.charAt(at) == ',') {
                        at++;
                        blanks();
                    }
                }
                at++;
                return list;
            }
            case '"' -> {
                return string();
            }
            default -> {
                int start = at;
                while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
                    at++;
                }
                String word = text.substring(start, at);
                return switch (word) {
                    case "true" -> Boolean.TRUE;
                    case "false" -> Boolean.FALSE;
                    case "null" -> null;
                    default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
                };
            }
        }
    }

    private String string() {
        StringBuilder built = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> built.append('\n');
                    case 'r' -> built.append('\r');
                    case 't' -> built.append('\t');
                    case 'u' -> {
                        built.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> built.append(escaped);
                }
            } else {
                built.append(next);
            }
        }
        at++;
        return built.toString();
    }

    static String write(Object value) {
        if (value == null) {
            return "null";
        }
        if (value instanceof String text) {
            StringBuilder built = new StringBuilder("\"");
            for (char next : text.toCharArray()) {
                if (next == '"' || next == '\\') {
                    built.append('\\').append(next);
                } else if (next < ' ') {
                    built.append(String.format("\\u%04x", (int) next));
                } else {
                    built.append(next);
                }
            }
            return built.append('"').toString();
        }
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((name, field) -> fields.add(write(name) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        return String.valueOf(value);
    }
}
