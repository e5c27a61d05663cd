package quotagateway.resp;

/** The memory for values that arrive in several reads, and are held until they are complete. */
@FunctionalInterface
public interface ValueMemory {
    /** Memory without a limit, for connections to peers that send short messages only. */
    ValueMemory UNLIMITED = bytes -> true;

    /** Returns whether so many more bytes may be held now. */
    boolean hasRoomFor(int bytes);
}
