package quotagateway.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import quotagateway.config.InvalidSettingException;
import quotagateway.config.SettingsReader;
import quotagateway.policy.Policy;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicySettings;

/**
 * Hosts the policies of many gateways in one process for a simulator, over its text wire: a batch of events comes in,
 * all actions that they led to go out. It decides nothing. The wire's page names the messages.
 */
public final class SimulatorHost {
    /** One gateway; without a policy when it has not been started, or was stopped. */
    private static final class Instance {
        private final ActionWriter actions = new ActionWriter();
        private PolicyEvents policy;
    }

    /** By number, in whose order their actions are written. */
    private final Map<Integer, Instance> instances = new TreeMap<>();

    /**
     * Reads batches until the input ends, and replies to each.
     *
     * @throws MalformedInputException where the input cannot be understood
     */
    public void run(BufferedReader input, PrintStream output) throws IOException {
        MessageReader message = new MessageReader(input);
        EventDispatcher dispatcher = new EventDispatcher(message);
        while (message.readNonEmpty()) {
            message.expectType("TURN");
            readBatch(message, dispatcher, message.number(1, "clock"));
            output.write(takeReply().getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
    }

    private void readBatch(MessageReader message, EventDispatcher dispatcher, double now) throws IOException {
        Integer current = null;
        while (true) {
            message.readWithin("batch", "message");
            if (message.isType("GO")) {
                return;
            }
            if (message.isType("INSTANCE")) {
                current = (int) message.integer(1, "instance");
            } else if (current == null) {
                throw message.malformed("message", "INSTANCE expected before " + MessageReader.quoted(message.type()));
            } else {
                handle(message, dispatcher, current, now);
            }
        }
    }

    private void handle(MessageReader message, EventDispatcher dispatcher, int number, double now) throws IOException {
        Instance instance = instances.computeIfAbsent(number, key -> new Instance());
        if (message.isType("UP")) {
            instance.actions.clear();
            instance.policy = new Policy(settings(message), message.integer(1, "entropy"), now, instance.actions);
        } else if (message.isType("DESTROY")) {
            instance.policy = null;
            instance.actions.clear();
        } else if (instance.policy == null) {
            throw message.malformed("instance", "instance " + number + " has not been started");
        } else {
            dispatcher.dispatch(instance.policy, now);
        }
    }

    /** The settings of an UP message; a key that is not known is skipped. */
    private static PolicySettings settings(MessageReader message) {
        Map<String, String> values = new HashMap<>();
        for (int i = 2; i < message.size(); i++) {
            String field = message.raw(i);
            int equals = field.indexOf('=');
            if (equals < 1) {
                throw message.malformed("env", "path=value expected, found " + MessageReader.quoted(field));
            }
            values.put(field.substring(0, equals), field.substring(equals + 1));
        }
        try {
            return SettingsReader.read(values);
        } catch (InvalidSettingException invalid) {
            throw message.malformed(invalid.field, invalid.getMessage());
        }
    }

    /** The actions of all instances since the last reply. */
    private String takeReply() {
        StringBuilder reply = new StringBuilder();
        instances.forEach((number, instance) -> {
            if (instance.actions.messages().length() > 0) {
                reply.append("AS\t").append(number).append('\n').append(instance.actions.messages());
                instance.actions.clear();
            }
        });
        return reply.append("END\n").toString();
    }
}
