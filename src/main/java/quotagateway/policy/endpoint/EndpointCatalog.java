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
 * Stores what the endpoint lists say about each endpoint, in about 140 bytes per endpoint, because a gateway uses only
 * a few of up to 200,000 endpoints. The catalog is a container and makes no decisions. Endpoints are ordered by their
 * bucket of the {@link ConsistentHashRing}, and are found by id, by bucket and by cell at a cost that does not grow
 * with the list.
 *
 * <p>In place of maps the catalog has two hash tables with chaining, one by id and one by cell: an entry is its own
 * chain node in both. The slots of the table by id are ordered by bucket, so that a bucket is a range of slots.
 */
public final class EndpointCatalog {
    /** An endpoint as the list describes it, in compact form; its state is REMOVED once it is no longer listed. */
    private static final class Entry {
        final String id;
        final int cell;
        private EndpointState state = EndpointState.REMOVED;
        private String zone;
        private String kind;
        private double startedAt;
        private double weight;
        private long address;
        private int generation;
        private Entry next;
        private Entry nextInCell;

        Entry(String id, int cell) {
            this.id = id;
            this.cell = cell;
        }

        boolean isUp() {
            return state == EndpointState.UP;
        }

        EndpointDescriptor descriptor() {
            return new EndpointDescriptor(id, cell, zone, state, kind, startedAt, weight, address);
        }
    }

    /** Removed entries stay in the cell table until they are more than this number plus the fraction below. */
    private static final int MIN_REMOVED_FOR_REBUILD = 64;
    /** The fraction of removed entries is one in this many of all entries. */
    private static final int REMOVED_ENTRIES_DIVISOR = 16;
    /**
     * Zones and kinds have few distinct values. Beyond this number, new values are not expected to recur and are not
     * interned.
     */
    private static final int MAX_INTERNED_STRINGS = 4096;
    /** 2^32 divided by the golden ratio. */
    private static final int FIBONACCI_MULTIPLIER = 0x9e3779b9;

    private final int bucketCount;
    private final Map<String, String> internedStrings = new HashMap<>();
    /** The chains by id, ordered by bucket. Each bucket has a power of two of slots; the hash of the id selects one. */
    private Entry[] table;

    private Entry[] cellTable = new Entry[1];
    private int size;
    private int upCount;
    private int removedInCellTable;
    /**
     * Sequence number of the complete list that was begun last. Each update stores it in the entries that the update
     * contains; when the list ends, entries with a lower number are missing from it and are removed.
     */
    private int generation;

    private boolean listInProgress;
    private boolean firstListCompleted;

    /** @param bucketCount number of buckets of the ring, one for each gateway */
    public EndpointCatalog(int bucketCount) {
        this.bucketCount = bucketCount;
        table = new Entry[bucketCount];
    }

    /** Returns the number of listed endpoints, including draining ones. */
    public int size() {
        return size;
    }

    /** Returns the number of listed endpoints that are up. */
    public int upCount() {
        return upCount;
    }

    /** Begins a complete list, which may arrive in parts. A list that is begun and never ended removes nothing. */
    public void beginList() {
        generation++;
        listInProgress = true;
    }

    /** Returns whether the first list has begun and not ended, so that its length is not known yet. */
    boolean isFirstListIncomplete() {
        return listInProgress && !firstListCompleted;
    }

    /**
     * Ends the list that was begun and removes the endpoints that it did not name. Does nothing if no list was begun.
     */
    public void endList() {
        if (!listInProgress) {
            return;
        }
        for (Entry head : table) {
            chain(head).filter(entry -> entry.generation != generation).forEach(this::remove);
        }
        listInProgress = false;
        firstListCompleted = true;
    }

    private static Stream<Entry> chain(Entry head) {
        return Stream.iterate(head, Objects::nonNull, entry -> entry.next);
    }

    /** Returns the endpoint of this id as listed, or null if it is not listed. */
    public EndpointDescriptor get(String id) {
        Entry entry = find(id);
        return entry == null ? null : entry.descriptor();
    }

    public boolean isUp(String id) {
        Entry entry = find(id);
        return entry != null && entry.isUp();
    }

    private Entry find(String id) {
        Entry entry = table[slot(id)];
        while (entry != null && !entry.id.equals(id)) {
            entry = entry.next;
        }
        return entry;
    }

    /** Applies a complete list, a part of a list, or changes to a list. */
    public void update(List<EndpointDescriptor> endpoints, boolean complete) {
        if (complete) {
            beginList();
        }
        endpoints.forEach(this::put);
        if (complete) {
            endList();
        }
    }

    private void put(EndpointDescriptor listed) {
        Entry entry = find(listed.id());
        if (entry != null && (listed.state() == EndpointState.REMOVED || listed.cell() != entry.cell)) {
            remove(entry);
            entry = null;
        }
        if (listed.state() == EndpointState.REMOVED) {
            return;
        }
        if (entry == null) {
            entry = new Entry(listed.id(), listed.cell());
            if (++size > table.length
                    || removedInCellTable > MIN_REMOVED_FOR_REBUILD + size / REMOVED_ENTRIES_DIVISOR) {
                rebuild();
            }
            link(entry);
        }
        upCount += (listed.state() == EndpointState.UP ? 1 : 0) - (entry.isUp() ? 1 : 0);
        entry.state = listed.state();
        entry.zone = intern(listed.zone());
        entry.kind = intern(listed.kind());
        entry.startedAt = listed.startedAt();
        entry.weight = listed.weight();
        entry.address = listed.address();
        entry.generation = generation;
    }

    /** Returns one instance for all equal strings, because the parser creates new strings for each list. */
    private String intern(String value) {
        String interned = internedStrings.size() < MAX_INTERNED_STRINGS
                ? internedStrings.putIfAbsent(value, value)
                : internedStrings.get(value);
        return interned == null ? value : interned;
    }

    /** Removes the entry from the chain by id; the cell table keeps it until the next rebuild. */
    private void remove(Entry entry) {
        upCount -= entry.isUp() ? 1 : 0;
        entry.state = EndpointState.REMOVED;
        int slot = slot(entry.id);
        if (table[slot] == entry) {
            table[slot] = entry.next;
        } else {
            Entry previous = table[slot];
            while (previous.next != entry) {
                previous = previous.next;
            }
            previous.next = entry.next;
        }
        size--;
        removedInCellTable++;
    }

    private void link(Entry entry) {
        int slot = slot(entry.id);
        entry.next = table[slot];
        table[slot] = entry;
        int cellSlot = cellSlot(entry.cell);
        entry.nextInCell = cellTable[cellSlot];
        cellTable[cellSlot] = entry;
    }

    /** Makes room for more entries, and drops removed entries from the cell table. */
    private void rebuild() {
        Entry[] oldTable = table;
        int slotsPerBucket = 1;
        while ((long) slotsPerBucket * bucketCount < size) {
            slotsPerBucket *= 2;
        }
        table = new Entry[slotsPerBucket * bucketCount];
        cellTable = new Entry[2 * Integer.highestOneBit(size)];
        removedInCellTable = 0;
        for (Entry head : oldTable) {
            for (Entry entry = head; entry != null; ) {
                Entry next = entry.next;
                link(entry);
                entry = next;
            }
        }
    }

    private int slot(String id) {
        int slotsPerBucket = table.length / bucketCount;
        return ConsistentHashRing.bucket(id, bucketCount) * slotsPerBucket
                + (fibonacciHash(id.hashCode()) & (slotsPerBucket - 1));
    }

    private int cellSlot(int cell) {
        return fibonacciHash(cell) & (cellTable.length - 1);
    }

    /** Fibonacci hashing (Knuth), under which consecutive numbers do not collide. */
    private static int fibonacciHash(int hash) {
        int product = hash * FIBONACCI_MULTIPLIER;
        return product ^ (product >>> 16);
    }

    /** Returns the endpoints of these buckets that are up. */
    public Stream<EndpointDescriptor> inBuckets(IntStream buckets) {
        int slotsPerBucket = table.length / bucketCount;
        return buckets.boxed()
                .flatMap(bucket -> Arrays.stream(table, bucket * slotsPerBucket, (bucket + 1) * slotsPerBucket))
                .flatMap(EndpointCatalog::chain)
                .filter(Entry::isUp)
                .map(Entry::descriptor);
    }

    /** Returns the endpoints of a cell that are up. */
    public Stream<EndpointDescriptor> inCell(int cell) {
        return Stream.iterate(cellTable[cellSlot(cell)], Objects::nonNull, entry -> entry.nextInCell)
                .filter(entry -> entry.cell == cell && entry.isUp())
                .map(Entry::descriptor);
    }
}
