package quotagateway.scale.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the proxy lets through in each of its modes. */
@Timeout(30)
class FaultProxyTest {
    private static final int PATIENCE = 100;

    private ServerSocket listener;
    private FaultProxy proxy;
    private Socket near;
    private Socket far;

    @BeforeEach
    void connect() throws IOException {
        listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        proxy = new FaultProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()));
        near = new Socket(InetAddress.getLoopbackAddress(), proxy.address().getPort());
        far = listener.accept();
        pass();
    }

    @AfterEach
    void end() throws IOException {
        proxy.close();
        near.close();
        far.close();
        listener.close();
    }

    private void pass() throws IOException {
        near.getOutputStream().write('q');
        assertEquals('q', far.getInputStream().read());
        far.getOutputStream().write('a');
        assertEquals('a', near.getInputStream().read());
    }

    private static void nothingComes(Socket at) throws IOException {
        at.setSoTimeout(PATIENCE);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(0);
    }

    @Test
    void heldResponsesArriveWhenTheModeEnds() throws IOException {
        proxy.mode(FaultProxy.Mode.HOLD_ANSWERS);
        near.getOutputStream().write('q');
        assertEquals('q', far.getInputStream().read());
        far.getOutputStream().write('a');
        nothingComes(near);
        proxy.mode(FaultProxy.Mode.PASS);
        assertEquals('a', near.getInputStream().read());
    }

    @Test
    void silentProxyPassesNothing() throws IOException {
        proxy.mode(FaultProxy.Mode.SILENT);
        near.getOutputStream().write('q');
        nothingComes(far);
        proxy.mode(FaultProxy.Mode.PASS);
        assertEquals('q', far.getInputStream().read());
    }

    @Test
    void newConnectionsAreReset() throws IOException {
        proxy.mode(FaultProxy.Mode.RESET_NEW);
        assertThrows(SocketException.class, () -> {
            try (Socket next =
                    new Socket(InetAddress.getLoopbackAddress(), proxy.address().getPort())) {
                next.getInputStream().read();
            }
        });
        pass(); // those that are open are left alone
    }

    @Test
    void openConnectionsAreResetOnBothSides() {
        proxy.resetAll();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> far.getInputStream().read());
    }
}
