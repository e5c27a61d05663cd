package quotagateway.scale.soak;

import java.util.SplittableRandom;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.RequestClass;
import quotagateway.scale.ScaleSettings;
import quotagateway.scale.StandInLoops;

/** Draws the requests of the soak's clients and writes them as commands of the protocol. */
final class RequestGenerator {
    /** Customers for each set of nodes that share a customer's traffic. */
    private static final int CUSTOMERS_PER_NODE_SET = 8;

    private final SoakSettings settings;
    private final SplittableRandom random;
    private long lastRequestNumber;

    RequestGenerator(SoakSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** A request of a random class to a node. */
    ClientRequest newRequest(NodeSlot node) {
        RequestClass requestClass =
                settings.classes().get(random.nextInt(settings.classes().size()));
        return new ClientRequest(
                String.format("%016x", ++lastRequestNumber),
                node.number,
                node.processNumber(),
                requestClass,
                drawClientTimeout(requestClass));
    }

    /** Mostly the whole deadline; else a part of it, or hardly any time at all. */
    private double drawClientTimeout(RequestClass requestClass) {
        double chance = random.nextDouble();
        if (chance < 0.7) {
            return requestClass.deadline();
        }
        return Math.ceil(
                chance < 0.9 ? requestClass.deadline() * (0.1 + 0.9 * random.nextDouble()) : 20 + random.nextInt(80));
    }

    /** The command of a request, for a random customer that has the node among its gateways. */
    String command(ClientRequest request) {
        RequestClass requestClass = request.requestClass;
        int gatewayCount = 1 + random.nextInt(Math.min(settings.nodes(), ScaleSettings.GATEWAYS_PER_CUSTOMER));
        int firstGateway = Math.floorMod(request.node - random.nextInt(gatewayCount), settings.nodes());
        String fields = "c=" + requestClass.name() + ",t="
                + (random.nextInt(4) == 0 ? SoakSettings.SMALL_PLAN : ScaleSettings.PLAN) + ",d="
                + (long) request.clientTimeout
                + (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY ? ",k=" + request.id : "")
                + ",units=1,spread=" + gatewayCount + ",first=" + firstGateway;
        // a customer keeps its set of gateways
        int nodeSet = firstGateway * ScaleSettings.GATEWAYS_PER_CUSTOMER + gatewayCount - 1;
        String customer =
                String.format("%016x", nodeSet * CUSTOMERS_PER_NODE_SET + random.nextInt(CUSTOMERS_PER_NODE_SET));
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                ? StandInLoops.command("CALL.GET", customer, request.id, fields)
                : StandInLoops.command("CALL.POST", customer, request.id, fields, "body");
    }
}
