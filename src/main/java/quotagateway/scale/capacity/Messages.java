package quotagateway.scale.capacity;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Samples of the messages in the protocol's forms, and their bytes. Addresses, names and amounts have the
 * lengths that they need in the large fleet: five digits of a port, 19 of a counter name.
 */
final class Messages {
    private static final String CUSTOMER = "000000012d3a9c41";
    private static final String ID = "5b0e77d2c1f48a36";
    private static final String FIELDS = "c=price,t=gold,d=480,units=2,spread=8,first=4711";
    private static final String KEY = ",k=0d1f5a7b93c2e846";
    private static final String ENTRY = "{\"host\":\"s-0c9e41d7\",\"dial\":\"10.104.118.203:16379\",\"site\":"
            + "\"zone-11\",\"class\":\"m2\",\"block\":1204,\"health\":\"active\",\"share\":1.0,"
            + "\"born_ms\":1790812345678}";
    /** No page tells a usual size. */
    private static final String BODY = "x".repeat(256);

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    private static final String ASK = " HTTP/1.1\r\nhost: 127.0.0.1:8500\r\n\r\n";

    private Messages() {}

    /** Name to sample, in the order of the page. */
    static Map<String, String> samples() {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("list_entry", ENTRY + ",");
        all.put(
                "list_head",
                HEAD + "Content-Length: 33400000\r\n\r\n{\"seq\":1234567,\"whole\":true," + "\"hosts\":[]}");
        all.put("list_call", "GET /catalog/members" + ASK);
        all.put("watch_call", "GET /catalog/members?follow=1&since=1234567" + ASK);
        all.put("watch_change", chunk("{\"seq\":1234568,\"whole\":false,\"hosts\":[" + ENTRY + "]}\n"));
        all.put("watch_silent", chunk("\n"));
        all.put("counter_call", words("CNT.ADD", "8412077316650928441", "-2.5", "60000"));
        all.put("counter_answer", bulk("12345.75"));
        all.put("client_get", words("CALL.GET", CUSTOMER, ID, FIELDS));
        all.put("client_post", words("CALL.POST", CUSTOMER, ID, FIELDS + KEY, BODY));
        all.put("client_answer", bulk(BODY));
        all.put("server_answer", "*3\r\n" + bulk(BODY) + "$-1\r\n" + bulk("inflight=7,queue=2,util=0.61"));
        all.put("refusal", "-BUSY 250\r\n");
        all.put("peer_address", "\"10.203.114.208:17946\",");
        all.put(
                "class_entry",
                "{\"name\":\"price-00123\",\"effect\":\"read_like\",\"group\":\"zone\","
                        + "\"aim\":120,\"hard_limit\":480,\"worth\":1.0,\"late_share\":0.4,"
                        + "\"repeat_window\":0,\"stream\":false},");
        all.put(
                "plan_entry",
                "{\"name\":\"tenant-0123456\",\"per_second\":12.5,\"depth\":50,\"open\":0,"
                        + "\"price\":1.0,\"extra_worth\":0.2,\"over_cost\":0.5,\"hard_rate\":25,\"ceiling_burst\":100,"
                        + "\"cap_slack\":0.1},");
        return all;
    }

    static int bytes(String sample) {
        return sample.getBytes(StandardCharsets.UTF_8).length;
    }

    private static String words(String... words) {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append(bulk(word));
        }
        return command.toString();
    }

    private static String bulk(String text) {
        return "$" + bytes(text) + "\r\n" + text + "\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(bytes(text)) + "\r\n" + text + "\r\n";
    }
}
