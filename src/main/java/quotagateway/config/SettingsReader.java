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

/**
 * Reads the policy's settings from text values by path. Both hosts bring them in this form: the simulator on its wire,
 * and the gateway by flattening its configuration file. A key that is not known here is skipped; an absent number is 0,
 * an absent flag is false.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads all settings. A list of objects has its length under {@code .count}.
     *
     * @throws InvalidSettingException where a setting is missing that has no default, or cannot be understood
     */
    public static PolicySettings read(Map<String, String> values) {
        return new SettingsReader(values).settings();
    }

    /**
     * Reads one number, 0 where it is absent.
     *
     * @throws InvalidSettingException where the value is no finite number
     */
    public static double number(Map<String, String> values, String path) {
        String value = values.get(path);
        if (value == null || value.equals("-")) {
            return 0;
        }
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, as an infinite number is
        }
        throw new InvalidSettingException(path, "number expected, found '" + value + "'");
    }

    private PolicySettings settings() {
        return new PolicySettings(
                integer("rank"),
                Math.max(1, integer("group_size")),
                textOr("my_zone", ""),
                number("tick"),
                textOr("discovery", "pushed").equals("on_request"),
                flag("family_info.trued_up"),
                Math.max(1, integer("family_info.most_units")),
                loadFields(),
                requestClasses(),
                plans(),
                capabilities(),
                rules(),
                costs());
    }

    private List<String> loadFields() {
        String fields = textOr("feedback.fields", "");
        return fields.isEmpty() ? List.of() : List.of(fields.split(",", 0));
    }

    private List<RequestClass> requestClasses() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < number("request_classes.count"); i++) {
            classes.add(requestClass("request_classes." + i + "."));
        }
        return classes;
    }

    private RequestClass requestClass(String prefix) {
        return new RequestClass(
                requiredText(prefix + "name"),
                idempotency(prefix + "effect"),
                retryScope(prefix + "group"),
                number(prefix + "aim"),
                number(prefix + "hard_limit"),
                number(prefix + "worth"),
                number(prefix + "late_share"),
                number(prefix + "repeat_window"),
                flag(prefix + "stream"));
    }

    private Idempotency idempotency(String path) {
        return switch (requiredText(path)) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new InvalidSettingException(path, "unknown effect");
        };
    }

    private RetryScope retryScope(String path) {
        return switch (textOr(path, "cell")) {
            case "all" -> RetryScope.ALL;
            case "zone" -> RetryScope.ZONE;
            default -> RetryScope.CELL;
        };
    }

    private List<QuotaPlan> plans() {
        List<QuotaPlan> plans = new ArrayList<>();
        for (int i = 0; i < number("tariffs.count"); i++) {
            plans.add(plan("tariffs." + i + "."));
        }
        return plans;
    }

    private QuotaPlan plan(String prefix) {
        return new QuotaPlan(
                requiredText(prefix + "name"),
                number(prefix + "per_second"),
                number(prefix + "depth"),
                integer(prefix + "open"),
                number(prefix + "price"),
                number(prefix + "extra_worth"),
                number(prefix + "over_cost"),
                number(prefix + "hard_rate"),
                number(prefix + "ceiling_burst"),
                number(prefix + "cap_slack"));
    }

    private Capabilities capabilities() {
        return new Capabilities(
                flag("limits.probing"),
                flag("limits.cancelling"),
                flag("limits.parallel_tries"),
                flag("limits.retry_after"),
                flag("limits.peers"),
                flag("family_info.shared_counter"),
                Math.max(1, integer("limits.send_cap")),
                number("limits.max_retry_after"),
                number("family_info.count_limit"));
    }

    private ServiceRules rules() {
        return new ServiceRules(
                number("contract.grace_to_answer"),
                number("contract.drain_grace"),
                number("contract.cold_share"),
                number("contract.warm_after"),
                number("contract.overload_factor"),
                number("contract.overload_for"));
    }

    private CostWeights costs() {
        return new CostWeights(
                number("prices.waste"),
                number("prices.probe"),
                number("family_info.counter_price"),
                number("prices.cross_zone"),
                number("prices.late_fail"));
    }

    private String textOr(String path, String fallback) {
        return values.getOrDefault(path, fallback);
    }

    private String requiredText(String path) {
        String value = values.get(path);
        if (value == null) {
            throw new InvalidSettingException(path, "missing setting");
        }
        return value;
    }

    private double number(String path) {
        return number(values, path);
    }

    private int integer(String path) {
        return (int) number(path);
    }

    private boolean flag(String path) {
        String value = values.getOrDefault(path, "false");
        return value.equals("true") || value.equals("1");
    }
}
