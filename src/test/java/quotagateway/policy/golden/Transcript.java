package quotagateway.policy.golden;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * All events and actions of a run, one per line, with one hash for each virtual second. Doubles are written as the bits
 * of {@link Double#doubleToLongBits}, so that a difference in the last place is visible.
 */
final class Transcript {
    private final StringBuilder lines = new StringBuilder();
    private final MessageDigest sha256;
    private final List<String> hashes = new ArrayList<>();
    private final StringBuilder keptText;

    /** @param keepText whether to keep the lines for {@link #text}, to compare two runs line by line */
    Transcript(boolean keepText) {
        keptText = keepText ? new StringBuilder() : null;
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Begins the line of a node's event or action. */
    Transcript line(int node, String name) {
        lines.append('\n').append(node).append(' ').append(name);
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

    /** Ends a virtual second and hashes its lines. */
    void endSecond() {
        byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
        hashes.add(HexFormat.of().formatHex(sha256.digest(bytes)));
        if (keptText != null) {
            keptText.append("\n# second ").append(hashes.size() - 1).append(lines);
        }
        lines.setLength(0);
    }

    /** Returns the hashes of the virtual seconds that have ended. */
    List<String> hashes() {
        return hashes;
    }

    /** Returns all lines of the virtual seconds that have ended, or an empty text if they are not kept. */
    String text() {
        return keptText == null ? "" : keptText.toString();
    }
}
