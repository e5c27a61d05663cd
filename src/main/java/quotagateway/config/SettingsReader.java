package quotagateway.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import quotagateway.policy.api.Capabilities;
import quotagateway.policy.api.CostWeights;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.api.ServiceRules;

/** The settings by path, as both hosts are told them: the simulator's wire and the real edge node's file. */
public final class SettingsReader {

    private final Map<String, String> keys;

    private SettingsReader(Map<String, String> keys) {
        this.keys = keys;
    }

    /** A list of objects has its length under {@code .count}; a key that is not known here is skipped. */
    public static PolicySettings read(Map<String, String> keys) {
        SettingsReader k = new SettingsReader(keys);
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < k.num("request_classes.count"); i++) {
            String at = "request_classes." + i + ".";
            Idempotency effect = switch (k.text(at + "effect")) {
                case "read_like" -> Idempotency.IDEMPOTENT;
                case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
                case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
                default -> throw new InvalidSettingException(at + "effect", "unknown effect");
            };
            RetryScope group = switch (k.or(at + "group", "cell")) {
                case "all" -> RetryScope.ALL;
                case "zone" -> RetryScope.ZONE;
                default -> RetryScope.CELL;
            };
            classes.add(new RequestClass(
                    k.text(at + "name"),
                    effect,
                    group,
                    k.num(at + "aim"),
                    k.num(at + "hard_limit"),
                    k.num(at + "worth"),
                    k.num(at + "late_share"),
                    k.num(at + "repeat_window"),
                    k.flag(at + "stream")));
        }
        List<QuotaPlan> plans = new ArrayList<>();
        for (int i = 0; i < k.num("tariffs.count"); i++) {
            String at = "tariffs." + i + ".";
            plans.add(new QuotaPlan(
                    k.text(at + "name"),
                    k.num(at + "per_second"),
                    k.num(at + "depth"),
                    (int) k.num(at + "open"),
                    k.num(at + "price"),
                    k.num(at + "extra_worth"),
                    k.num(at + "over_cost"),
                    k.num(at + "hard_rate"),
                    k.num(at + "ceiling_burst"),
                    k.num(at + "cap_slack")));
        }
        String fields = k.or("feedback.fields", "");
        return new PolicySettings(
                (int) k.num("rank"),
                Math.max(1, (int) k.num("group_size")),
                k.or("my_zone", ""),
                k.num("tick"),
                k.or("discovery", "pushed").equals("on_request"),
                k.flag("family_info.trued_up"),
                Math.max(1, (int) k.num("family_info.most_units")),
                fields.isEmpty() ? List.of() : List.of(fields.split(",")),
                classes,
                plans,
                new Capabilities(
                        k.flag("limits.probing"),
                        k.flag("limits.cancelling"),
                        k.flag("limits.parallel_tries"),
                        k.flag("limits.retry_after"),
                        k.flag("limits.peers"),
                        k.flag("family_info.shared_counter"),
                        Math.max(1, (int) k.num("limits.send_cap")),
                        k.num("limits.max_retry_after"),
                        k.num("family_info.count_limit")),
                new ServiceRules(
                        k.num("contract.grace_to_answer"),
                        k.num("contract.drain_grace"),
                        k.num("contract.cold_share"),
                        k.num("contract.warm_after"),
                        k.num("contract.overload_factor"),
                        k.num("contract.overload_for")),
                new CostWeights(
                        k.num("prices.waste"),
                        k.num("prices.probe"),
                        k.num("family_info.counter_price"),
                        k.num("prices.cross_zone"),
                        k.num("prices.late_fail")));
    }

    private String or(String key, String other) {
        return keys.getOrDefault(key, other);
    }

    private String text(String key) {
        String value = keys.get(key);
        if (value == null) {
            throw new InvalidSettingException(key, "missing setting");
        }
        return value;
    }

    private double num(String key) {
        return number(keys, key);
    }

    /** An absent number is 0. */
    public static double number(Map<String, String> keys, String key) {
        String value = keys.get(key);
        if (value == null || value.equals("-")) {
            return 0;
        }
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // told below, with the field
        }
        throw new InvalidSettingException(key, "number expected, found '" + value + "'");
    }

    private boolean flag(String key) {
        String value = keys.getOrDefault(key, "false");
        return value.equals("true") || value.equals("1");
    }
}
