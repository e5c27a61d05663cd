package quotagateway.client;

import java.util.regex.Pattern;

/**
 * The attribute list of a request command, {@code name=value,name=value,...}. Unknown attributes are ignored and kept:
 * the list is forwarded to the endpoint unchanged, except for the client's timeout.
 */
final class CommandAttributes {
    /** {@link Integer#parseInt} also accepts {@code +1}; nine digits always fit an {@code int}. */
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    /** {@link Double#parseDouble} also accepts {@code NaN}, {@code 1e30} and {@code 0x1p3}. */
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final String list;
    private String requestClass;
    private String plan;
    private double clientTimeoutMs = Double.NaN;
    /** Start of the timeout's value in the list; negative until it has been found. */
    private int timeoutStart = -1;

    private int timeoutEnd = -1;
    private int units = 1;
    private int gatewayCount = 1;
    private int firstGateway;
    private boolean retry;
    private boolean hasIdempotencyKey;

    private CommandAttributes(String list) {
        this.list = list;
    }

    /**
     * Parses a list. If an attribute occurs more than once, its last value applies.
     *
     * @throws MalformedCommandException if the list has another form, a number is malformed, or the request class, the
     *     plan or the timeout is missing
     */
    static CommandAttributes parse(String list) {
        CommandAttributes attributes = new CommandAttributes(list);
        int start = 0;
        while (start < list.length()) {
            int comma = list.indexOf(',', start);
            int end = comma < 0 ? list.length() : comma;
            attributes.parseAttribute(start, end);
            start = end + 1;
        }
        if (attributes.requestClass == null || attributes.plan == null || attributes.timeoutStart < 0) {
            throw new MalformedCommandException("c, t and d are needed");
        }
        return attributes;
    }

    private void parseAttribute(int start, int end) {
        int equalsSign = list.indexOf('=', start);
        if (equalsSign < 0 || equalsSign >= end) {
            throw new MalformedCommandException("name=value expected");
        }
        String value = list.substring(equalsSign + 1, end);
        switch (list.substring(start, equalsSign)) {
            case "c" -> requestClass = value;
            case "t" -> plan = value;
            case "d" -> {
                clientTimeoutMs = Double.parseDouble(requireMatch(DECIMAL_NUMBER, value));
                timeoutStart = equalsSign + 1;
                timeoutEnd = end;
            }
            case "units" -> units = Integer.parseInt(requireMatch(WHOLE_NUMBER, value));
            case "spread" -> gatewayCount = Integer.parseInt(requireMatch(WHOLE_NUMBER, value));
            case "first" -> firstGateway = Integer.parseInt(requireMatch(WHOLE_NUMBER, value));
            case "k" -> hasIdempotencyKey = !value.isEmpty();
            case "r" -> retry = value.equals("1");
            default -> {
                // an attribute for the endpoint, which the gateway ignores
            }
        }
    }

    private static String requireMatch(Pattern pattern, String value) {
        if (!pattern.matcher(value).matches()) {
            throw new MalformedCommandException("a number is malformed");
        }
        return value;
    }

    String requestClass() {
        return requestClass;
    }

    String plan() {
        return plan;
    }

    double clientTimeoutMs() {
        return clientTimeoutMs;
    }

    int units() {
        return units;
    }

    int gatewayCount() {
        return gatewayCount;
    }

    int firstGateway() {
        return firstGateway;
    }

    boolean isRetry() {
        return retry;
    }

    boolean hasIdempotencyKey() {
        return hasIdempotencyKey;
    }

    /** Returns the list up to the value of the client's timeout. */
    String textBeforeTimeout() {
        return list.substring(0, timeoutStart);
    }

    /** Returns the list after the value of the client's timeout. */
    String textAfterTimeout() {
        return list.substring(timeoutEnd);
    }
}
