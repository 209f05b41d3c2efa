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
 * gRPC interceptor that reads the caller's key and the operators' secret from the headers of a
 * call.
 *
 * <p>Puts only their digests into the call's context, so neither the key nor the secret goes any
 * further. Thread-safe.
 */
final class HeaderInterceptor implements ServerInterceptor {
    @Override
    public <Q, A> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, A> call, Metadata headers, ServerCallHandler<Q, A> next) {
        String key = headers.get(CallerKeys.HEADER);
        String secret = headers.get(OperatorSecret.HEADER);
        Context context =
                Context.current()
                        .withValue(CallerKeys.KEY_DIGEST, KeyDigest.of(key == null ? "" : key))
                        .withValue(
                                OperatorSecret.SECRET_DIGEST,
                                KeyDigest.of(secret == null ? "" : secret));
        return Contexts.interceptCall(context, call, headers, next);
    }
}
