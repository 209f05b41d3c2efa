package org.bronzelug.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.io.PrintStream;

/** Prints answers as text or JSON. Not thread-safe. */
final class Output {
    private final PrintStream out;
    private final boolean json;

    Output(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Prints an answer: the message itself as JSON, or the text made of it. */
    void print(Message message, String text) {
        out.println(json ? toJson(message) : text);
        out.flush();
    }

    /** Prints a part of a stream. */
    void part(Message message, String text) {
        if (json) {
            out.println(toJson(message));
        } else {
            out.print(text);
        }
        out.flush();
    }

    private static String toJson(Message message) {
        try {
            return JsonFormat.printer()
                    .omittingInsignificantWhitespace()
                    .alwaysPrintFieldsWithNoPresence()
                    .print(message);
        } catch (InvalidProtocolBufferException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
