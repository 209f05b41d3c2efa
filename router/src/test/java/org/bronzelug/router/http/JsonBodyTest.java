package org.bronzelug.router.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a truncated response that is taken for an empty list or report. */
class JsonBodyTest {
    @ParameterizedTest
    @ValueSource(strings = {"", " ", "{", "{\"items\":[", "{\"items\":[]", "[]", "null", "12"})
    void anythingButAWholeObjectIsRefused(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        assertThrows(IOException.class, () -> JsonBody.parseObject(bytes));
    }

    @Test
    void aWholeObjectIsReturned() throws IOException {
        byte[] bytes = "{\"items\":[]}".getBytes(StandardCharsets.UTF_8);
        assertThat(JsonBody.parseObject(bytes).path("items").isArray()).isTrue();
    }
}
