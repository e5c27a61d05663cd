package quotagateway.node;

import java.lang.reflect.Proxy;

/**
 * Catches SIGHUP, which asks for the configuration to be read again, and which ends a JVM that does not catch it. The
 * module jdk.unsupported has the one way to do that; it is used by reflection, as the compiler warns of its names in a
 * way that cannot be suppressed in the source. A signal that comes before there is a node is kept for it: the
 * configuration has been read by then.
 */
public final class ReloadSignal {
    private Runnable action;
    private boolean pending;

    /** Catches each SIGHUP from here on; it arrives on a thread of the JVM's own. */
    public void install() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    ReloadSignal.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (self, method, args) -> switch (method.getName()) {
                        case "handle" -> {
                            onSignal();
                            yield null;
                        }
                        case "hashCode" -> System.identityHashCode(self);
                        case "equals" -> self == args[0];
                        default -> "reload signal handler";
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            System.err.println("SIGHUP cannot be caught: " + e);
        }
    }

    /** A signal has come. */
    synchronized void onSignal() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** Sets what is run for each signal from here on, and runs it now, once, where any have come before. */
    public synchronized void setAction(Runnable newAction) {
        action = newAction;
        if (pending) {
            pending = false;
            newAction.run();
        }
    }
}
