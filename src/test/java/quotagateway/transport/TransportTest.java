package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.epoll.Epoll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What all sockets of the node are held to. */
class TransportTest {
    @AfterEach
    void transport() {
        Transport.epoll = Epoll.isAvailable();
    }

    /** A small write that the system holds back goes with a close. The library sets it, so we need not. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nothingIsHeldBack(boolean epoll) throws Exception {
        Transport.epoll = epoll && Epoll.isAvailable();
        var socket = Transport.socket().getDeclaredConstructor().newInstance();
        try {
            assertTrue(socket.config().isTcpNoDelay(), "TCP_NODELAY");
        } finally {
            socket.unsafe().closeForcibly();
        }
    }
}
