package willowyoke;

import java.util.List;
import java.util.Set;

/**
 * What a host and the decision module say to each other. A host calls {@link Events}; the module answers by
 * calling {@link Actions}, during the event or not at all. Times are milliseconds on the host's clock.
 */
public interface Gateway {
    /** May a request be repeated: freely, inside a group of servers that drops repeats, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that drop each other's repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** How an attempt, a probe or a counter call ended; the flag says that it proves nothing ran. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        NO_CONNECTION(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** True where the work cannot have run. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why a request was refused or failed; it changes nothing of the answer, and is told to operators. */
    enum EndReason {
        /** The settings have no such class or plan. */
        NOT_IN_SETTINGS,
        /** A client's retry, or one with no useful time left, while its quota is short. */
        QUOTA_SHORT,
        /** Held for quota or a server until an answer would have been late. */
        HELD_TOO_LONG,
        /** The client's time is over. */
        DEADLINE,
        /** Its attempt may have run, and the class may not be repeated, or not any more. */
        NOT_REPEATABLE,
        /** All attempts that the settings allow are used. */
        ATTEMPTS_USED,
        /** Too little time is left for another attempt. */
        NO_TIME_TO_REPEAT,
        /** The decision module gave no answer in time, or failed. */
        NO_DECISION,
        /** What came behind it on its connection could not be read. */
        CONNECTION_MALFORMED,
        /** It came when a process that ends had to have answered all. */
        SHUTDOWN
    }

    /** A class of requests. */
    record RequestClass(
            String name,
            Effect effect,
            Group group,
            double aim,
            double deadline,
            double worth,
            double lateWorth,
            double window,
            boolean stream) {
        /** Whether a repeat has to stay with a part of the servers. */
        public boolean staysInGroup() {
            return effect == Effect.KEYED && group != Group.ALL;
        }
    }

    /** A plan; a rate, open or ceilingRate of 0 means that there is no such limit. */
    record Plan(
            String name,
            double rate,
            double burst,
            int open,
            double price,
            double overWorth,
            double overCost,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {}

    /** What the site allows. */
    record Allowed(
            boolean probes,
            boolean cancel,
            boolean copies,
            boolean retryAfter,
            boolean peers,
            boolean counter,
            int attempts,
            double maxRetryAfter,
            double counterTimeout) {}

    /** The figures of the rules. */
    record Rules(
            double answerGrace,
            double drainGrace,
            double coldShare,
            double warmAfter,
            double overloadFactor,
            double overloadFor) {}

    /** What costs points of the result. */
    record Prices(double waste, double probe, double counter, double crossZone, double lateFail) {}

    /** Everything one instance is told at its start. */
    record Settings(
            int me,
            int nodes,
            String zone,
            double tick,
            boolean mustAsk,
            boolean settled,
            int mostUnits,
            List<String> loadFields,
            List<RequestClass> classes,
            List<Plan> plans,
            Allowed allowed,
            Rules rules,
            Prices prices) {}

    /**
     * A server as the list names it; startedAt is 0 where it started long ago. Where it listens is the host's
     * own affair: the module keeps the number and gives it back, 0 where there is none.
     */
    record Server(
            String id, int cell, String zone, State state, String kind, double startedAt, double weight, long dial) {}

    /** A request as it arrived. */
    record Request(
            long id,
            String type,
            String plan,
            String customer,
            double patience,
            int units,
            int spread,
            int first,
            boolean again) {}

    /** What a host tells one instance. */
    interface Events {
        /** The list of servers: all of it, or the changed ones only. */
        void servers(double now, List<Server> list, boolean whole);

        /**
         * A whole list begins that comes in parts, each by {@link #servers} as a change. What none of them
         * has named is gone at its end; one that is begun again, or never ends, drops nothing.
         */
        default void listBegins(double now) {}

        default void listEnds(double now) {}

        /** A call to discovery failed or the subscription dropped. */
        void discoveryFailed(double now);

        void arrived(double now, Request request);

        /** A streamed answer has begun: from here on the attempt is the client's. */
        void firstAnswer(double now, long id, int attempt);

        /** One attempt ended; over: the request needs no answer any more. */
        void ended(
                double now,
                long id,
                int attempt,
                Outcome outcome,
                double took,
                boolean over,
                int trueUnits,
                double[] load);

        void gone(double now, long id);

        void timer(double now, long token);

        default void probed(double now, String server, Outcome outcome, double took, double[] load) {}

        void counted(double now, long name, Outcome outcome, double took, double total);

        /** An operator takes a server out, or puts it back; false where no list has ever named it. */
        default boolean cordon(double now, String server, boolean out) {
            return false;
        }

        /** The servers that are out by hand, as they are kept: these and no others. */
        default void cordons(double now, Set<String> servers) {}

        /** How many servers the list has, draining ones too. */
        default int listed() {
            return 0;
        }

        /** How many servers of the list get nothing new at present, for whatever reason. */
        default int avoided(double now) {
            return 0;
        }
    }

    /** What an instance asks of its host. */
    interface Actions {
        void send(long id, String server, double until);

        void cancel(long id, int attempt);

        void refuse(long id, double retryAfter);

        void fail(long id);

        /** As {@link #refuse(long, double)}, with the reason. */
        default void refuse(long id, double retryAfter, EndReason reason) {
            refuse(id, retryAfter);
        }

        /** As {@link #fail(long)}, with the reason. */
        default void fail(long id, EndReason reason) {
            fail(id);
        }

        void timer(double delay, long token);

        void probe(String server);

        void count(long name, double amount, double keepFor);

        void subscribe();

        /** What still waits for a connection to this server must not go there any more. */
        default void withdraw(String server) {}

        /** This server is used from here on: connections to it may be made ahead and kept. */
        default void keep(Server server) {}

        /** It is not used any more: what is idle there may be closed, what is out may end. */
        default void release(String server) {}
    }
}
