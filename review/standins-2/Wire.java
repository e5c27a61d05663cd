package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reading and writing RESP2, as far as the protocol page uses it. */
final class Wire {
    private Wire() {}

    /** A command: an array of bulk strings. */
    static byte[] command(String... words) {
        byte[][] parts = new byte[words.length][];
        for (int i = 0; i < words.length; i++) {
            parts[i] = words[i].getBytes(StandardCharsets.ISO_8859_1);
        }
        return command(parts);
    }

    static byte[] command(byte[]... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        put(out, "*" + words.length + "\r\n");
        for (byte[] word : words) {
            put(out, "$" + word.length + "\r\n");
            out.write(word, 0, word.length);
            put(out, "\r\n");
        }
        return out.toByteArray();
    }

    /** A place server's answer: the value, no figures on use, and a load report. */
    static byte[] served(byte[] value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        put(out, "*3\r\n$" + value.length + "\r\n");
        out.write(value, 0, value.length);
        put(out, "\r\n$-1\r\n");
        String load = "qps=10,inflight=1,util=0.2";
        put(out, "$" + load.length() + "\r\n" + load + "\r\n");
        return out.toByteArray();
    }

    static void put(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.write(bytes, 0, bytes.length);
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    static byte[] bytes(InputStream in, int count) throws IOException {
        byte[] value = new byte[count];
        int done = 0;
        while (done < count) {
            int read = in.read(value, done, count - done);
            if (read < 0) {
                throw new EOFException("the connection ended after " + done + " of " + count + " bytes");
            }
            done += read;
        }
        return value;
    }

    /** The words of the next command; null where the connection ends in front of it. */
    static byte[][] readCommand(InputStream in) throws IOException {
        int type = in.read();
        if (type < 0) {
            return null;
        }
        if (type != '*') {
            throw new IOException("an array expected");
        }
        byte[][] words = new byte[Integer.parseInt(line(in))][];
        for (int i = 0; i < words.length; i++) {
            if (in.read() != '$') {
                throw new IOException("a bulk string expected");
            }
            words[i] = bytes(in, Integer.parseInt(line(in)));
            line(in);
        }
        return words;
    }

    static String text(byte[] word) {
        return new String(word, StandardCharsets.ISO_8859_1);
    }

    /** The value of a name in an attribute list, or null. */
    static String attribute(String list, String name) {
        for (String each : list.split(",")) {
            if (each.startsWith(name + "=")) {
                return each.substring(name.length() + 1);
            }
        }
        return null;
    }
}
