package quotagateway.scale.capacity;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The page: a table between each {@code <!-- table:NAME -->} and the next {@code <!-- end -->}. */
final class CapacityPage {
    private static final String BEGIN = "<!-- table:";
    private static final String CLOSE = " -->";
    private static final String END = "<!-- end -->";

    private CapacityPage() {}

    /** The page with its tables as they should be; throws {@link BadInput} where a marker is not in order. */
    static String filled(String page, Map<String, String> tables, String file) {
        StringBuilder out = new StringBuilder();
        Set<String> seen = new HashSet<>();
        int from = 0;
        for (int begin = page.indexOf(BEGIN); begin >= 0; begin = page.indexOf(BEGIN, from)) {
            int close = page.indexOf(CLOSE, begin);
            String name = close < 0 ? "" : page.substring(begin + BEGIN.length(), close);
            if (!tables.containsKey(name) || !seen.add(name)) {
                throw new InvalidInputException(
                        file + ": table '" + name.lines().findFirst().orElse("") + "' is not known, or there twice");
            }
            int end = page.indexOf(END, close);
            int next = page.indexOf(BEGIN, close);
            if (end < 0 || (next >= 0 && next < end)) {
                throw new InvalidInputException(file + ": table '" + name + "' has no end");
            }
            out.append(page, from, close + CLOSE.length());
            out.append("\n\n").append(tables.get(name)).append('\n');
            from = end;
        }
        for (String name : tables.keySet()) {
            if (!seen.contains(name)) {
                throw new InvalidInputException(file + ": table '" + name + "' has no place");
            }
        }
        return out.append(page.substring(from)).toString();
    }
}
