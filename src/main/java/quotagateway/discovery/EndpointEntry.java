package quotagateway.discovery;

import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.transport.PackedAddress;

/** One entry of an endpoint list: gathers its members as they come and decodes them. Used again for each entry. */
final class EndpointEntry {
    /** Zones and kinds of machine are a few words: each is kept once, up to this many. */
    private static final int MAX_SHARED_WORDS = 1024;

    private final Map<String, String> sharedWords = new HashMap<>();
    private String host;
    private String dial;
    private String site;
    private String machineClass;
    private String block;
    private String health;
    private String share;
    private String bornMs;

    /** Forgets all members: the next entry begins. */
    void clear() {
        host = dial = site = machineClass = block = health = share = bornMs = null;
    }

    /** Takes in one member; those of other names are ignored. The value is null where the text has a null. */
    void set(String name, String value) {
        switch (name) {
            case "host" -> host = value;
            case "dial" -> dial = value;
            case "site" -> site = value;
            case "class" -> machineClass = value;
            case "block" -> block = value;
            case "health" -> health = value;
            case "share" -> share = value;
            case "born_ms" -> bornMs = value;
            default -> {}
        }
    }

    /**
     * The endpoint that the members describe.
     *
     * @throws IllegalArgumentException where the entry has no name, or an address that cannot be read; an endpoint that
     *     is removed needs no address
     */
    EndpointDescriptor toDescriptor() {
        EndpointState state = state();
        if (textOf(host).isEmpty()) {
            throw new IllegalArgumentException("an entry of a list names no host");
        }
        String address = textOf(dial);
        return new EndpointDescriptor(
                host,
                (int) NumberText.parse(block, 0),
                shared(site),
                state,
                shared(machineClass),
                NumberText.parse(bornMs, 0),
                NumberText.parse(share, 1),
                state == EndpointState.REMOVED && address.isEmpty() ? 0 : PackedAddress.pack(address));
    }

    /** A word that is not known stands for draining, as is the one for draining itself: nothing new is sent there. */
    private EndpointState state() {
        return switch (textOf(health)) {
            case "active" -> EndpointState.UP;
            case "left" -> EndpointState.REMOVED;
            default -> EndpointState.DRAINING;
        };
    }

    private static String textOf(String value) {
        return value == null ? "" : value;
    }

    private String shared(String value) {
        String word = textOf(value);
        String known = sharedWords.get(word);
        if (known == null && sharedWords.size() < MAX_SHARED_WORDS) {
            sharedWords.put(word, word);
        }
        return known == null ? word : known;
    }
}
