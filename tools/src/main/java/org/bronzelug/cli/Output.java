package org.bronzelug.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.io.PrintStream;

/** Prints responses as text or JSON. Not thread-safe. */
final class Output {
    private final PrintStream out;
    private final boolean json;

    Output(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Prints a response: the message as JSON, or the given text. */
    void print(Message message, String text) {
        out.println(json ? toJson(message) : text);
        out.flush();
    }

    /**
     * Prints one chunk of a stream: the message as a line of JSON, or the text without a line end.
     */
    void printChunk(Message message, String text) {
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
