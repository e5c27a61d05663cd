package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.epoll.Epoll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings that all sockets of the node rely on. */
class TransportTest {
    @AfterEach
    void restoreTransport() {
        Transport.useEpoll(Epoll.isAvailable());
    }

    /** A small write that the system held back would be lost with a close. Netty sets the option by itself. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void smallWritesAreSentAtOnce(boolean epoll) throws Exception {
        Transport.useEpoll(epoll && Epoll.isAvailable());
        var socket = Transport.socketChannel().getDeclaredConstructor().newInstance();
        try {
            assertTrue(socket.config().isTcpNoDelay(), "TCP_NODELAY");
        } finally {
            socket.unsafe().closeForcibly();
        }
    }
}
