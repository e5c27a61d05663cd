package quotagateway.policy.golden;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * All events and actions of a run, a line each, hashed second by second. Doubles stand in a line by the bits of
 * {@link Double#doubleToLongBits}, so that a difference in the last place shows.
 */
final class Transcript {
    private final StringBuilder lines = new StringBuilder();
    private final MessageDigest sha256;
    private final List<String> hashes = new ArrayList<>();
    private final StringBuilder kept;

    /** @param keepText whether {@link #text} is wanted, to compare two runs line by line */
    Transcript(boolean keepText) {
        kept = keepText ? new StringBuilder() : null;
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Begins the line of an event or action of a node. */
    Transcript line(int node, String what) {
        lines.append('\n').append(node).append(' ').append(what);
        return this;
    }

    Transcript add(double value) {
        return add(Double.doubleToLongBits(value));
    }

    Transcript add(long value) {
        lines.append(' ');
        for (int shift = 60; shift >= 0; shift -= 4) {
            lines.append(Character.forDigit((int) (value >>> shift) & 0xf, 16));
        }
        return this;
    }

    Transcript add(String value) {
        lines.append(' ').append(value);
        return this;
    }

    Transcript add(boolean value) {
        lines.append(' ').append(value);
        return this;
    }

    /** Ends a virtual second: its lines become one hash. */
    void endSecond() {
        byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
        hashes.add(HexFormat.of().formatHex(sha256.digest(bytes)));
        if (kept != null) {
            kept.append("\n# second ").append(hashes.size() - 1).append(lines);
        }
        lines.setLength(0);
    }

    /** The hashes of the seconds that have ended. */
    List<String> hashes() {
        return hashes;
    }

    /** All lines of the seconds that have ended; empty unless kept. */
    String text() {
        return kept == null ? "" : kept.toString();
    }
}
