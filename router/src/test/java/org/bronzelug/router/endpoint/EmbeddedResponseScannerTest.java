package org.bronzelug.router.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a response that is taken for a part of another one's body, or the reverse. */
class EmbeddedResponseScannerTest {
    private static ByteBuf bytes(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A bar stands for the end of a line of a head. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 500 Bad|id: own||,true",
        "data: oHTTP/1.1 500 Bad|length: 0|ID:own ||more,true",
        "HTTP/1.1 500 Bad|id: own||HTTP/1.1 404 No|id: other||,true",
        "HTTP/1.1 404 HTTP/1.0 200 OK|id: own||,true",
        "HTTP/1.1 500 Bad|id: own|id: own||,true",
        "HTTP/1.1 500 Bad|id: own|Warning: HTTP/1.1 503||,true",
        "HTTP/1.1 500 Bad|id: own,true",
        "HTTP/1.1 500 Bad|id: ow,false",
        "HTTP/1.1 500 Bad|id: other||,false",
        "HTTP/1.1 500 Bad|id: own more||,false",
        "HTTP/1.1 500 Bad|an id: own||,false",
        "HTTP/1.1 500 Bad id: own||,false",
        "HTTP/1.1 500,false",
        "id: own||HTTP/1.1 500 Bad,false",
        "id: own||,false",
        "text,false"
    })
    void aResponseIsFoundHoweverABodyIsDivided(String body, boolean found) {
        String text = body.replace("|", "\r\n");
        for (int cut = 0; cut <= text.length(); cut++) {
            EmbeddedResponseScanner scanner = new EmbeddedResponseScanner("Id", "own");
            scanner.scan(bytes(text.substring(0, cut)));
            scanner.scan(bytes(text.substring(cut)));
            assertThat(scanner.hasResponse(true)).isEqualTo(found);
        }
    }

    /** Guards against rejecting a text that quotes the response's head, in lines of a text. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 200 OK|id: own||", "data: HTTP/1.1 200 OK||data: id: own||"})
    void aQuoteInLinesOfATextIsNoResponse(String body) {
        EmbeddedResponseScanner scanner = new EmbeddedResponseScanner("id", "own");
        scanner.scan(bytes(body.replace("|", "\n")));
        assertThat(scanner.hasResponse(true)).isFalse();
    }

    /** Guards against a field that is not found behind one of any length. */
    @ParameterizedTest
    @CsvSource({"1", "90", "20000"})
    void aFieldOfAnyLengthMayPrecede(int length) {
        EmbeddedResponseScanner scanner = new EmbeddedResponseScanner("id", "own");
        scanner.scan(bytes("HTTP/1.1 200 OK\r\nlong: " + "x".repeat(length) + "\r\nid: own\r\n"));
        assertThat(scanner.hasResponse(false)).isTrue();
    }

    /** Guards against a body that ends within a status line and looks whole. */
    @ParameterizedTest
    @CsvSource({
        "oH,TTP/1.1 500 Bad,true",
        "oHTTP/1.1 50,0 Bad,true",
        "oH,HTTP/1.1 500 Bad,false",
        "oH,extra,false",
        "o,HTTP/1.1 500 Bad,false",
        "oHTTP/1.1 5,x HTTP/1.1 500,false"
    })
    void aStatusLineMayBeCompletedBehindTheBody(String body, String following, boolean completed) {
        EmbeddedResponseScanner scanner = new EmbeddedResponseScanner("id", "own");
        scanner.scan(bytes(body));
        assertThat(scanner.isStatusLineCompletedBy(bytes(following))).isEqualTo(completed);
    }
}
