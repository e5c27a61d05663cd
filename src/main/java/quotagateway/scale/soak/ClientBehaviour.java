package quotagateway.scale.soak;

import java.util.SplittableRandom;

/** What a client does with its next request. */
enum ClientBehaviour {
    /** Sends it and waits for the response. */
    PLAIN,
    /** Writes it in pieces with pauses between them. */
    SLOW,
    /** Writes some more requests behind it at once. */
    PIPELINE,
    /** Closes its connection at a random time while it waits. */
    LEAVE,
    /** Connects, and sends it only later. */
    ASK_LATE;

    /** Seven in ten are plain. */
    static ClientBehaviour draw(SplittableRandom random) {
        double chance = random.nextDouble();
        if (chance < 0.7) {
            return PLAIN;
        } else if (chance < 0.78) {
            return SLOW;
        } else if (chance < 0.86) {
            return PIPELINE;
        } else if (chance < 0.94) {
            return LEAVE;
        }
        return ASK_LATE;
    }
}
