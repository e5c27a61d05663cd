package quotagateway.node;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which requests that the configuration is read again, and which ends a JVM without a handler for it.
 * Only the module jdk.unsupported offers signal handlers. It is used by reflection, as the compiler's warnings about
 * its names cannot be suppressed in the source. A signal that arrives before the node exists is handled once it does,
 * as the configuration may have been read before the signal.
 */
public final class ReloadSignal {
    private Runnable action;
    private boolean pending;

    /** Handles each SIGHUP from now on; signals arrive on a thread of the JVM. */
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
            System.err.println("SIGHUP handler cannot be installed: " + e);
        }
    }

    /** A signal has arrived. */
    synchronized void onSignal() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** Sets the action that runs for each signal from now on, and runs it now, once, if any signals arrived before. */
    public synchronized void setAction(Runnable newAction) {
        action = newAction;
        if (pending) {
            pending = false;
            newAction.run();
        }
    }
}
