package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that is opened while its link is cut and stays open, so that a test
 * runs without the failure that it needs.
 */
class CuttableLinkTest {
    private static final int CUTS = 60;
    private static final int CONNECTIONS = 20;
    private static final int READ_TIMEOUT_MILLIS = 2_000;

    @Test
    void everyConnectionIsClosedWhenTheLinkIsCut() throws Exception {
        try (ServerSocket target = new ServerSocket(0, 4_000, InetAddress.getLoopbackAddress())) {
            for (int cut = 0; cut < CUTS; cut++) {
                try (CuttableLink link = new CuttableLink()) {
                    link.connectTo(target.getLocalPort());
                    List<Socket> opened = openConnections(link, cut);
                    link.cut();
                    for (Socket socket : opened) {
                        assertThat(isClosed(socket)).isTrue();
                    }
                }
            }
        }
    }

    private static List<Socket> openConnections(CuttableLink link, int pauseSteps)
            throws Exception {
        List<Socket> opened = new ArrayList<>();
        int port = Integer.parseInt(link.address().split(":")[1]);
        for (int index = 0; index < CONNECTIONS; index++) {
            opened.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        Thread.sleep(0, pauseSteps * 10_000);
        return opened;
    }

    private static boolean isClosed(Socket socket) throws IOException {
        try (socket) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException stillOpen) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }
}
