package org.bronzelug.router.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against another response's head that is taken for a part of a body. */
class StatusLineScannerTest {
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK,true",
        "data: oHTTP/1.1 500 Bad,true",
        "HHTTP/1.0 404,true",
        "HTTP/1.HTTP/1.1 404,true",
        "HTTP/1.1 50,false",
        "HTTP/1.1 and 500,false",
        "HTTP/1.1  500,false",
        "http/1.1 500,false",
        "text,false"
    })
    void aStatusLineIsFoundHoweverABodyIsDivided(String body, boolean found) {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        for (int cut = 0; cut <= bytes.length; cut++) {
            StatusLineScanner scanner = new StatusLineScanner();
            scanner.next(Unpooled.wrappedBuffer(bytes, 0, cut), 0);
            scanner.next(Unpooled.wrappedBuffer(bytes, cut, bytes.length - cut), 0);
            assertThat(scanner.hasFound()).isEqualTo(found);
        }
    }
}
