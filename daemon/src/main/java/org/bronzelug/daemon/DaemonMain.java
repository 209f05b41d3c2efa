package org.bronzelug.daemon;

import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.daemon.settings.SettingsException;
import org.bronzelug.daemon.settings.SettingsReader;
import org.bronzelug.kernel.ServiceException;

/** The daemon's command line. Stateless. */
public final class DaemonMain {
    private static final int USAGE_ERROR = 64;
    private static final int START_ERROR = 69;
    private static final int CONFIGURATION_ERROR = 78;

    private DaemonMain() {}

    /** Reads the settings and runs the daemon until the process receives a signal to stop. */
    public static void main(String[] arguments) {
        ArgumentParser parser =
                ArgumentParsers.newFor("bronzelugd")
                        // Detecting the width starts a child process.
                        .terminalWidthDetection(false)
                        .build()
                        .description("The daemon of one VM: routes requests to endpoints.")
                        .epilog(
                                "Exit codes: 0 stopped gracefully, 64 usage, 69 can't start, 78"
                                        + " wrong settings.");
        parser.addArgument("--config").required(true).help("settings file, JSON with comments");
        parser.addArgument("--check-config")
                .action(Arguments.storeTrue())
                .help("check the settings file and exit");
        try {
            Namespace options = parser.parseArgs(arguments);
            Settings settings = SettingsReader.read(Path.of(options.getString("config")));
            if (options.getBoolean("check_config")) {
                System.out.println(options.getString("config") + ": no mistakes found");
                return;
            }
            run(settings);
        } catch (ArgumentParserException invalid) {
            parser.handleError(invalid);
            System.exit(USAGE_ERROR);
        } catch (SettingsException invalid) {
            System.err.println(invalid.getMessage());
            System.exit(CONFIGURATION_ERROR);
        } catch (ServiceException failed) {
            System.err.println(failed.getMessage());
            System.exit(START_ERROR);
        }
    }

    private static void run(Settings settings) throws ServiceException {
        Daemon daemon = new Daemon(settings);
        daemon.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
    }

    private static void stop(Daemon daemon) {
        try {
            daemon.stop();
            // Without this, a process stopped by a signal would exit with 143, as if killed.
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
