package quotagateway.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the simulator's wire line by line: a message is one line of fields separated by tabs, the first of them its
 * type. Fields are read by number, with their name on the wire for the error message.
 */
final class MessageReader {
    /** Stands for a value that is not given. */
    private static final String ABSENT = "-";
    /** Of a wrong value so many characters are shown. */
    private static final int MAX_SHOWN = 40;
    /** Most messages have fewer fields. */
    private static final int USUAL_FIELDS = 12;

    private static final double[] NO_NUMBERS = new double[0];

    private final BufferedReader input;
    private long lineNumber;
    private String[] fields = new String[0];

    MessageReader(BufferedReader input) {
        this.input = input;
    }

    /** Reads the next message that is no empty line; false where the input has ended. */
    boolean readNonEmpty() throws IOException {
        String line = readLine();
        while (line != null && line.isEmpty()) {
            line = readLine();
        }
        return line != null && split(line);
    }

    /**
     * Reads the next message of something that has to go on.
     *
     * @param what it is, for the error
     * @throws MalformedInputException where the input has ended
     */
    void readWithin(String what, String field) throws IOException {
        String line = readLine();
        if (line == null) {
            throw malformed(field, "the input ends inside a " + what);
        }
        split(line);
    }

    private String readLine() throws IOException {
        lineNumber++;
        return input.readLine();
    }

    private boolean split(String line) {
        List<String> words = new ArrayList<>(USUAL_FIELDS);
        int from = 0;
        for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', from)) {
            words.add(line.substring(from, tab));
            from = tab + 1;
        }
        words.add(line.substring(from));
        fields = words.toArray(new String[0]);
        return true;
    }

    /** The type of the message. */
    String type() {
        return fields[0];
    }

    boolean isType(String type) {
        return fields[0].equals(type);
    }

    /** The message has to be of this type. */
    void expectType(String type) {
        if (!isType(type)) {
            throw malformed("message", type + " expected, found " + quoted(type()));
        }
    }

    /** How many fields the message has, its type included. */
    int size() {
        return fields.length;
    }

    /** A field as it stands, which may be empty. */
    String raw(int index) {
        return fields[index];
    }

    String text(int index, String name) {
        if (index >= fields.length || fields[index].isEmpty()) {
            throw malformed(name, "missing");
        }
        return fields[index];
    }

    /** A field that is 1 for true, and 0 or absent for false. */
    boolean flag(int index, String name) {
        String value = text(index, name);
        if (!value.equals("1") && !value.equals("0") && !value.equals(ABSENT)) {
            throw malformed(name, "1 or 0 expected, found " + quoted(value));
        }
        return value.equals("1");
    }

    long integer(int index, String name) {
        String value = text(index, name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed(name, "whole number expected, found " + quoted(value));
        }
    }

    /** As {@link #integer}, 0 where the field is absent. */
    long integerOrZero(int index, String name) {
        return isAbsent(index) ? 0 : integer(index, name);
    }

    double number(int index, String name) {
        return parseNumber(text(index, name), name);
    }

    /** As {@link #number}, 0 where the field is absent. */
    double numberOrZero(int index, String name) {
        return isAbsent(index) ? 0 : number(index, name);
    }

    /** Numbers separated by commas, NaN for each that is absent; none where the field is absent or empty. */
    double[] numbers(int index, String name) {
        if (isAbsent(index) || fields[index].isEmpty()) {
            return NO_NUMBERS;
        }
        String[] words = fields[index].split(",", 0);
        double[] values = new double[words.length];
        for (int i = 0; i < words.length; i++) {
            values[i] = words[i].equals(ABSENT) ? Double.NaN : parseNumber(words[i], name);
        }
        return values;
    }

    private boolean isAbsent(int index) {
        return index >= fields.length || fields[index].equals(ABSENT);
    }

    private double parseNumber(String value, String name) {
        double parsed;
        try {
            parsed = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            parsed = Double.NaN;
        }
        if (!Double.isFinite(parsed)) {
            throw malformed(name, "number expected, found " + quoted(value));
        }
        return parsed;
    }

    /** A wrong value for an error message, shortened. */
    static String quoted(String value) {
        return "'" + (value.length() > MAX_SHOWN ? value.substring(0, MAX_SHOWN) + "..." : value) + "'";
    }

    /** The error of a field of this line. */
    MalformedInputException malformed(String field, String problem) {
        return new MalformedInputException(lineNumber, field, problem);
    }
}
