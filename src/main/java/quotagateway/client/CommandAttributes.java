package quotagateway.client;

import java.util.regex.Pattern;

/**
 * The attribute list of a request command, {@code name=value,name=value,...}. Attributes that this gateway doesn't
 * know are left alone: the list goes on to the endpoint as it came, except for the client's timeout.
 */
final class CommandAttributes {
    /** Java's own parsing also takes {@code +1}; nine digits always fit an {@code int}. */
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
    /** Java's own parsing also takes {@code NaN}, {@code 1e30} and {@code 0x1p3}. */
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final String list;
    private String requestClass;
    private String plan;
    private double clientTimeoutMs = Double.NaN;
    /** Where the value of the timeout stands in the list; negative while it has not been found. */
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
     * Parses a list; of an attribute that is given twice the last one counts.
     *
     * @throws MalformedCommandException where it has another form, a number is malformed, or one of the class, the
     *     plan and the timeout is missing
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
                clientTimeoutMs = Double.parseDouble(requireForm(DECIMAL_NUMBER, value));
                timeoutStart = equalsSign + 1;
                timeoutEnd = end;
            }
            case "units" -> units = Integer.parseInt(requireForm(WHOLE_NUMBER, value));
            case "spread" -> gatewayCount = Integer.parseInt(requireForm(WHOLE_NUMBER, value));
            case "first" -> firstGateway = Integer.parseInt(requireForm(WHOLE_NUMBER, value));
            case "k" -> hasIdempotencyKey = !value.isEmpty();
            case "r" -> retry = value.equals("1");
            default -> {
                // an attribute between the client and its endpoint
            }
        }
    }

    private static String requireForm(Pattern form, String value) {
        if (!form.matcher(value).matches()) {
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

    /** The list up to the value of the client's timeout. */
    String textBeforeTimeout() {
        return list.substring(0, timeoutStart);
    }

    /** The list behind the value of the client's timeout. */
    String textAfterTimeout() {
        return list.substring(timeoutEnd);
    }
}
