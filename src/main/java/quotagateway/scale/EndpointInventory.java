package quotagateway.scale;

import java.util.ArrayList;
import java.util.List;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;

/** The endpoints of a run by number: ids, zones and cells, made once and shared by all nodes. */
public final class EndpointInventory {
    /** Only a few endpoints recognise each other's idempotency keys: a cell is about a rack. */
    private static final int ENDPOINTS_PER_CELL = 8;

    private final String[] names;
    private final String[] zones;

    public EndpointInventory(int size, int zones) {
        names = new String[size];
        this.zones = new String[zones];
        for (int i = 0; i < size; i++) {
            names[i] = "s-" + String.format("%08x", i);
        }
        for (int i = 0; i < zones; i++) {
            this.zones[i] = zoneName(i);
        }
    }

    public static String zoneName(int zone) {
        return "zone-" + zone;
    }

    public int size() {
        return names.length;
    }

    /** Cells lie in one zone each, and zones take turns. */
    public int zone(int server) {
        return server / ENDPOINTS_PER_CELL % zones.length;
    }

    /** Servers of one cell drop each other's repeats. */
    public int cell(int server) {
        return server / ENDPOINTS_PER_CELL;
    }

    public String name(int server) {
        return names[server];
    }

    /** The number of a server by its name. */
    public static int numberOf(String name) {
        return Integer.parseUnsignedInt(name, 2, name.length(), 16);
    }

    /** The entry of a list; startedAt is 0 where the server started long ago. */
    public EndpointDescriptor descriptor(int server, EndpointState state, double startedAt) {
        return new EndpointDescriptor(names[server], cell(server), zones[zone(server)], state, "", startedAt, 1, 0);
    }

    /** Every server, up since long ago. */
    public List<EndpointDescriptor> completeList() {
        List<EndpointDescriptor> list = new ArrayList<>(names.length);
        for (int i = 0; i < names.length; i++) {
            list.add(descriptor(i, EndpointState.UP, 0));
        }
        return list;
    }
}
