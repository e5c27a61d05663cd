/** The configuration of a small deployment: the settings of the wire page's example, for one gateway. */
final class Deployment {
    static final int READ_DEADLINE_MS = 2000;
    static final int WRITE_DEADLINE_MS = 4000;

    private Deployment() {}

    private static String requestClass(String name, String effect, int aim, int deadline, int window, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"aim\":" + aim
                + ",\"hard_limit\":" + deadline + ",\"late_share\":0.0,\"repeat_window\":" + window
                + ",\"stream\":false,\"worth\":" + worth + "}";
    }

    private static String plan(String name, double rate, double depth, double price) {
        return "{\"name\":\"" + name + "\",\"per_second\":" + rate + ",\"depth\":" + depth + ",\"open\":0,\"price\":"
                + price + ",\"over_cost\":1.2,\"extra_worth\":0.0,\"hard_rate\":0.0,\"ceiling_burst\":0.0,"
                + "\"cap_slack\":0.0}";
    }

    static String config(String name, String listen, String discovery, String counter, String known) {
        return config(name, listen, discovery, counter, known, 1024);
    }

    static String config(String name, String listen, String discovery, String counter, String known, int sockets) {
        String settings = "{\"azs\":[\"hall-a\",\"hall-b\",\"hall-c\"],\"my_zone\":\"hall-a\",\"rank\":0,\"group_size\":1,"
                + "\"tick\":4.0,\"tier\":0,\"tiers\":[\"place-servers\"],\"kinds\":[\"big-box\",\"small-box\"],"
                + "\"discovery\":\"pushed\",\"family\":\"gate\",\"weight_kind\":\"none\","
                + "\"client_habits\":{\"marks_retry\":false},"
                + "\"contract\":{\"ask_within\":10000.0,\"cold_share\":0.25,\"drain_grace\":250.0,"
                + "\"grace_to_answer\":16.0,\"overload_factor\":3.0,\"overload_for\":1000.0,\"warm_after\":13000.0},"
                + "\"family_info\":{\"count_limit\":80.0,\"counter_price\":0.02,\"meter_period\":0.0,\"most_units\":6,"
                + "\"peer_in_per_s\":100.0,\"shared_counter\":true,\"trued_up\":false},"
                + "\"feedback\":{\"fields\":[\"throughput\",\"outstanding\",\"utilization\"],\"via\":\"answers\"},"
                + "\"limits\":{\"cancelling\":true,\"connect_timeout\":250.0,\"cpu_us_per_request\":0.0,"
                + "\"cpu_us_per_s\":500000,\"keepalive\":15000.0,\"max_open\":20000,\"max_retry_after\":1000.0,"
                + "\"parallel_tries\":false,\"peers\":false,\"probing\":true,\"retry_after\":true,\"send_cap\":3,"
                + "\"streams_per_conn\":32},"
                + "\"prices\":{\"cross_zone\":0.01,\"late_fail\":0.05,\"probe\":0.01,\"waste\":0.08},"
                + "\"request_classes\":["
                + requestClass("check-places", "read_like", 500, READ_DEADLINE_MS, 5000, 1) + ","
                + requestClass("hold-place", "idempotency_key", 1200, WRITE_DEADLINE_MS, 8000, 2) + ","
                + requestClass("confirm-enrol", "non_idempotent", 1500, WRITE_DEADLINE_MS, 5000, 5) + "],"
                + "\"tariffs\":[" + plan("basic", 6.7, 28, 1.3) + "," + plan("premium", 50, 139, 1.4) + "]}";
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"counter\":\"" + counter + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":" + known
                + ",\"settings\":" + settings + "}";
    }

    /** The customer with this number, as requests name it. */
    static String customer(int number) {
        return String.format("%016x", 0xb4d60000L + number);
    }

    static byte[] read(int customer, String id, int deadlineMs) {
        return Resp.command("CALL.GET", customer(customer), id, "c=check-places,t=premium,d=" + deadlineMs
                + ",units=1,spread=1,first=0");
    }

    /** A keyed or a once-only request with a body. */
    static byte[] write(String requestClass, int customer, String id, String body) {
        return Resp.command("CALL.POST", customer(customer), id, writeAttributes(requestClass, id), body);
    }

    static String writeAttributes(String requestClass, String id) {
        String key = requestClass.equals("hold-place") ? ",k=" + id : "";
        return "c=" + requestClass + ",t=premium,d=" + WRITE_DEADLINE_MS + key + ",units=1,spread=1,first=0";
    }
}
