package org.bronzelug.daemon.caller;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.daemon.operator.OperatorSecret;

/**
 * Takes the key and the operators' secret out of a call's headers.
 *
 * <p>Both are turned into digests here and go no further. Thread-safe.
 */
final class HeaderInterceptor implements ServerInterceptor {
    @Override
    public <Q, A> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, A> call, Metadata headers, ServerCallHandler<Q, A> next) {
        String key = headers.get(CallerKeys.HEADER);
        String secret = headers.get(OperatorSecret.HEADER);
        Context context =
                Context.current()
                        .withValue(CallerKeys.PRESENT, KeyDigest.of(key == null ? "" : key))
                        .withValue(
                                OperatorSecret.PRESENT, KeyDigest.of(secret == null ? "" : secret));
        return Contexts.interceptCall(context, call, headers, next);
    }
}
