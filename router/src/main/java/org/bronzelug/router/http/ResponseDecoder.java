package org.bronzelug.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes responses strictly. The library's decoder accepts malformed heads and passes on another
 * status, field or body than the server has sent: it reads any whole number as a status code, drops
 * what lies between a blank in a field's name and the colon, joins folded lines, and removes
 * transfer codings that it does not decode.
 *
 * <p>Invariant: a head that is passed on without a failure has a status line and field names as RFC
 * 9112 defines them, no folded line, no transfer coding but chunked, and not both a length and
 * chunks, since two recipients could take different bytes for the end of its body (section 6.3).
 * Names in a trailer section are checked in the same way. Confined to the event loop of its
 * channel.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d\\d");
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte NAME_END = ':';

    /** Whether the next bytes belong to a head. */
    private boolean inHead = true;

    /** Whether the status line of that head was decoded. */
    private boolean statusLineRead;

    private boolean folded;

    /** Returns whether bytes have arrived behind the last message that was decoded. */
    public boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns these bytes, for reading only. */
    public ByteBuf undecodedBytes() {
        return internalBuffer();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded)
            throws Exception {
        folded |= inHead && hasFoldedLine(buffer);
        int first = decoded.size();
        super.decode(context, buffer, decoded);
        for (int index = first; index < decoded.size(); index++) {
            if (decoded.get(index) instanceof HttpResponse response) {
                inHead = false;
                check(response);
            }
            if (decoded.get(index) instanceof LastHttpContent) {
                inHead = true;
                statusLineRead = false;
                folded = false;
            }
        }
    }

    private void check(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            return;
        }
        if (folded) {
            fail(response, "folded line");
            return;
        }
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean decodable =
                codings.isEmpty()
                        || (codings.size() == 1
                                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                        codings.get(0)));
        if (!decodable) {
            fail(response, "unknown transfer coding");
        }
    }

    private static void fail(HttpResponse response, String cause) {
        response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(cause)));
    }

    /**
     * Returns whether a line of the head begins with white space. The bytes begin with a line, as
     * the decoder consumes whole lines only.
     */
    private boolean hasFoldedLine(ByteBuf buffer) {
        int end = buffer.writerIndex();
        int line = buffer.readerIndex();
        if (!statusLineRead) {
            // Empty lines may precede the status line.
            while (line < end && isLineEnd(buffer.getByte(line))) {
                line++;
            }
        }
        while (line < end) {
            byte begin = buffer.getByte(line);
            if (begin == ' ' || begin == '\t') {
                return true;
            }
            int lineEnd = buffer.indexOf(line, end, LINE_FEED);
            if (lineEnd < 0 || isLineEnd(begin)) {
                return false;
            }
            line = lineEnd + 1;
        }
        return false;
    }

    private static boolean isLineEnd(byte character) {
        return character == LINE_FEED || character == CARRIAGE_RETURN;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        statusLineRead = true;
        boolean valid =
                VERSION.matcher(statusLine[0]).matches()
                        && STATUS_CODE.matcher(statusLine[1]).matches();
        if (!valid) {
            throw new IllegalArgumentException("malformed status line");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != NAME_END) {
            throw new IllegalArgumentException("malformed field name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
