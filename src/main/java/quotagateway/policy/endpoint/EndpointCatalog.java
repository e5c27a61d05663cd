package quotagateway.policy.endpoint;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;

/**
 * What the lists tell of every server, in some 140 bytes each: of 200,000 a node uses few. A container and no
 * more: servers stand by their bucket of the ring, and are found by id, by bucket and by cell at a cost that
 * does not grow with the list.
 */
public final class EndpointCatalog {
    /** A server as the list names it, in the smallest form; GONE where it is in the list no more. */
    private static final class Entry {
        final String id;
        final int cell;
        private EndpointState state = EndpointState.REMOVED;
        private String zone;
        private String kind;
        private double startedAt;
        private double weight;
        private long dial;
        private int named;
        private Entry next;
        private Entry nextInCell;

        Entry(String id, int cell) {
            this.id = id;
            this.cell = cell;
        }

        boolean isUp() {
            return state == EndpointState.UP;
        }

        EndpointDescriptor server() {
            return new EndpointDescriptor(id, cell, zone, state, kind, startedAt, weight, dial);
        }
    }

    /** Servers that have gone stay in their cell's line until they are so many, or this part of all. */
    private static final int GONE_LEAST = 64;

    private static final int GONE_PART = 16;
    /** Zones and kinds are few: past this number they are no names that come again. */
    private static final int WORDS = 4096;

    private final int buckets;
    private final Map<String, String> words = new HashMap<>();
    /** Lines by bucket, a power of two of them for each, told apart by the id's hash. */
    private Entry[] table;

    private Entry[] cells = new Entry[1];
    private int size;
    private int up;
    private int gone;
    private int part;
    private boolean reading;
    private boolean ended;

    public EndpointCatalog(int buckets) {
        this.buckets = buckets;
        table = new Entry[buckets];
    }

    /** How many servers the list has, draining ones too. */
    public int size() {
        return size;
    }

    public int up() {
        return up;
    }

    /** A list begins that may come in parts; one that was begun and not ended tells of no absence. */
    public void begin() {
        part++;
        reading = true;
    }

    /** Whether the first list has begun and not ended: its length is not known. */
    boolean first() {
        return reading && !ended;
    }

    /** The list that was begun has ended: what it did not name has gone. */
    public void end() {
        if (reading) {
            for (Entry head : table) {
                Stream.iterate(head, Objects::nonNull, e -> e.next)
                        .filter(e -> e.named != part)
                        .forEach(this::remove);
            }
            reading = false;
            ended = true;
        }
    }

    /** The server of this id as the list has it, or null. */
    public EndpointDescriptor get(String id) {
        Entry e = find(id);
        return e == null ? null : e.server();
    }

    public boolean isUp(String id) {
        Entry e = find(id);
        return e != null && e.isUp();
    }

    private Entry find(String id) {
        Entry e = table[line(id)];
        while (e != null && !e.id.equals(id)) {
            e = e.next;
        }
        return e;
    }

    /** Takes a whole list, or changes of one, or a part. */
    public void take(List<EndpointDescriptor> told, boolean whole) {
        if (whole) {
            begin();
        }
        told.forEach(this::put);
        if (whole) {
            end();
        }
    }

    private void put(EndpointDescriptor s) {
        Entry e = find(s.id());
        if (e != null && (s.state() == EndpointState.REMOVED || s.cell() != e.cell)) {
            remove(e);
            e = null;
        }
        if (s.state() == EndpointState.REMOVED) {
            return;
        }
        if (e == null) {
            e = new Entry(s.id(), s.cell());
            if (++size > table.length || gone > GONE_LEAST + size / GONE_PART) {
                rebuild();
            }
            link(e);
        }
        up += (s.state() == EndpointState.UP ? 1 : 0) - (e.isUp() ? 1 : 0);
        e.state = s.state();
        e.zone = word(s.zone());
        e.kind = word(s.kind());
        e.startedAt = s.startedAt();
        e.weight = s.weight();
        e.dial = s.address();
        e.named = part;
    }

    private String word(String word) {
        String known = words.size() < WORDS ? words.putIfAbsent(word, word) : words.get(word);
        return known == null ? word : known;
    }

    private void remove(Entry e) {
        up -= e.isUp() ? 1 : 0;
        e.state = EndpointState.REMOVED;
        int at = line(e.id);
        if (table[at] == e) {
            table[at] = e.next;
        } else {
            Entry before = table[at];
            while (before.next != e) {
                before = before.next;
            }
            before.next = e.next;
        }
        size--;
        gone++;
    }

    private void link(Entry e) {
        int at = line(e.id);
        e.next = table[at];
        table[at] = e;
        int cell = cell(e.cell);
        e.nextInCell = cells[cell];
        cells[cell] = e;
    }

    private void rebuild() {
        Entry[] old = table;
        int lines = 1;
        while ((long) lines * buckets < size) {
            lines *= 2;
        }
        table = new Entry[lines * buckets];
        cells = new Entry[2 * Integer.highestOneBit(size)];
        gone = 0;
        for (Entry head : old) {
            for (Entry e = head; e != null; ) {
                Entry next = e.next;
                link(e);
                e = next;
            }
        }
    }

    private int line(String id) {
        int lines = table.length / buckets;
        return ConsistentHashRing.bucket(id, buckets) * lines + (spread(id.hashCode()) & lines - 1);
    }

    private int cell(int cell) {
        return spread(cell) & cells.length - 1;
    }

    private static int spread(int hash) {
        int h = hash * 0x9e3779b9; // Fibonacci hashing: numbers in a row do not meet
        return h ^ h >>> 16;
    }

    /** The servers of these buckets that are up. */
    public Stream<EndpointDescriptor> inBuckets(IntStream numbers) {
        int lines = table.length / buckets;
        return numbers.boxed()
                .flatMap(n -> Arrays.stream(table, n * lines, (n + 1) * lines))
                .flatMap(head -> Stream.iterate(head, Objects::nonNull, e -> e.next))
                .filter(Entry::isUp)
                .map(Entry::server);
    }

    /** The servers of a cell that are up. */
    public Stream<EndpointDescriptor> inCell(int number) {
        return Stream.iterate(cells[cell(number)], Objects::nonNull, e -> e.nextInCell)
                .filter(e -> e.cell == number && e.isUp())
                .map(Entry::server);
    }
}
