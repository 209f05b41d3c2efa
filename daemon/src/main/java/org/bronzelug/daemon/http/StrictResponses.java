package org.bronzelug.daemon.http;

import java.io.IOException;
import java.util.List;
import java.util.regex.Pattern;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Fails calls whose response has a malformed head. The library's client keeps lines that are no
 * fields, and takes a body in an unknown coding, or after a malformed "Transfer-Encoding", for what
 * the server has sent. To be added as a network interceptor. Stateless and thread-safe.
 */
public final class StrictResponses implements Interceptor {
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    @Override
    public Response intercept(Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        boolean names =
                response.headers().names().stream().allMatch(name -> TOKEN.matcher(name).matches());
        List<String> codings = response.headers("Transfer-Encoding");
        boolean coding =
                codings.isEmpty()
                        || (codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked"));
        if (!names || !coding) {
            response.close();
            throw new IOException("the head of the response is malformed");
        }
        return response;
    }
}
