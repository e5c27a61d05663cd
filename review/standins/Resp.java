import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 as the stand-ins need it. A message is a String for a line ("+OK", "-ERR"), a byte[] or null for a bulk, or a List. */
final class Resp {
    static final byte[] END = {'\r', '\n'};

    private Resp() {}

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String text(Object bulk) {
        return bulk == null ? null : new String((byte[]) bulk, StandardCharsets.ISO_8859_1);
    }

    /** A command: an array of bulk strings. */
    static byte[] command(byte[]... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii("*" + words.length + "\r\n"));
        for (byte[] word : words) {
            out.writeBytes(ascii("$" + word.length + "\r\n"));
            out.writeBytes(word);
            out.writeBytes(END);
        }
        return out.toByteArray();
    }

    static byte[] command(String... words) {
        byte[][] bytes = new byte[words.length][];
        for (int i = 0; i < words.length; i++) {
            bytes[i] = ascii(words[i]);
        }
        return command(bytes);
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 1 << 16);
    }

    /** Reads the next message; throws EOFException at the end of the connection. */
    static Object read(InputStream in) throws IOException {
        String line = readLine(in);
        String rest = line.substring(1);
        switch (line.charAt(0)) {
            case '$': {
                int length = Integer.parseInt(rest);
                if (length < 0) {
                    return null;
                }
                byte[] value = in.readNBytes(length);
                if (value.length < length || in.readNBytes(2).length < 2) {
                    throw new EOFException("inside a value");
                }
                return value;
            }
            case '*': {
                int length = Integer.parseInt(rest);
                List<Object> elements = new ArrayList<>();
                for (int i = 0; i < length; i++) {
                    elements.add(read(in));
                }
                return elements;
            }
            default:
                return line;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException(line.length() == 0 ? "end" : "inside a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        if (line.length() == 0) {
            throw new IOException("an empty line");
        }
        return line.toString();
    }
}
