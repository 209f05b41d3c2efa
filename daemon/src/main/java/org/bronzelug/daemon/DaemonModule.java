package org.bronzelug.daemon;

import dagger.Module;
import dagger.Provides;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.bronzelug.core.drain.DrainGate;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.settings.Settings;

/** Provides the objects that Dagger cannot construct by itself. Immutable. */
@Module
final class DaemonModule {
    private static final int INCARNATION_BYTES = 8;

    private final Settings settings;

    DaemonModule(Settings settings) {
        this.settings = settings;
    }

    @Provides
    Settings settings() {
        return settings;
    }

    @Provides
    @Singleton
    SecureRandom secureRandom() {
        return new SecureRandom();
    }

    @Provides
    @Singleton
    RandomGenerator random(SecureRandom seed) {
        return new java.util.SplittableRandom(seed.nextLong());
    }

    @Provides
    @Singleton
    MemberIdentity self(SecureRandom random) {
        byte[] incarnation = new byte[INCARNATION_BYTES];
        random.nextBytes(incarnation);
        return new MemberIdentity(settings.vm(), HexFormat.of().formatHex(incarnation));
    }

    @Provides
    @Singleton
    DrainGate gate() {
        return new DrainGate();
    }

    @Provides
    @Singleton
    PlatformClient platform() {
        return new PlatformClient(settings.platformUrl());
    }
}
