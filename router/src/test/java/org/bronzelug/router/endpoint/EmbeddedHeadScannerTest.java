package org.bronzelug.router.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a response that is taken for a part of another one's body, or the reverse. */
class EmbeddedHeadScannerTest {
    private static boolean isOwn(HttpResponse response) {
        return "own".equals(response.headers().get("id"));
    }

    /** A slash stands for the end of a line. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 500 Bad/id: own//,true",
        "data: oHTTP/1.1 500 Bad/length: 0/ID: own//more,true",
        "HTTP/1.1 404 HTTP/1.0 200 OK/id: own//,true",
        "HTTP/1.1 500 Bad/id: own,true",
        "HTTP/1.1 500 Bad/id: ow,false",
        "HTTP/1.1 500 Bad/id: other//,false",
        "HTTP/1.1 500 Bad//id: own//,false",
        "HTTP/1.1 500 Bad/no field/id: own//,true",
        "HTTP/1.1 500,false",
        "id: own//,false",
        "text,false"
    })
    void aHeadIsFoundHoweverABodyIsDivided(String body, boolean found) {
        byte[] bytes =
                body.replace("/", "\r\n")
                        .replace("HTTP\r\n", "HTTP/")
                        .getBytes(StandardCharsets.ISO_8859_1);
        for (int cut = 0; cut <= bytes.length; cut++) {
            EmbeddedHeadScanner scanner = new EmbeddedHeadScanner();
            scanner.scan(Unpooled.wrappedBuffer(bytes, 0, cut));
            boolean foundEarly = scanner.hasHead(EmbeddedHeadScannerTest::isOwn, false);
            scanner.scan(Unpooled.wrappedBuffer(bytes, cut, bytes.length - cut));
            boolean foundAtLast = scanner.hasHead(EmbeddedHeadScannerTest::isOwn, true);
            assertThat(foundEarly || foundAtLast).isEqualTo(found);
        }
    }
}
