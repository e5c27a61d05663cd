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
 * What the endpoint lists say of every endpoint, in some 140 bytes each: of 200,000 a gateway uses few. It is a
 * container and decides nothing. Endpoints stand by their bucket of the {@link ConsistentHashRing}, and are found by
 * id, by bucket and by cell at a cost that does not grow with the list.
 *
 * <p>It is a hash table with chains, and a second one by cell, in place of maps: an entry is its own node in both, and
 * the table's slots are ordered by bucket, so that a bucket is a range of slots.
 */
public final class EndpointCatalog {
    /** An endpoint as the list names it, in the smallest form; its state is REMOVED once it is no longer listed. */
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

    /** Removed entries stay in their cell's chain until they are more than this and the part below. */
    private static final int MIN_REMOVED_FOR_REBUILD = 64;
    /** One in so many of all entries. */
    private static final int REMOVED_PART_DIVISOR = 16;
    /** Zones and kinds are few: past this number they are no names that come again. */
    private static final int MAX_SHARED_WORDS = 4096;
    /** 2^32 divided by the golden ratio. */
    private static final int FIBONACCI_MULTIPLIER = 0x9e3779b9;

    private final int bucketCount;
    private final Map<String, String> sharedWords = new HashMap<>();
    /** Chains by bucket, a power of two of them for each bucket, told apart by the id's hash. */
    private Entry[] table;

    private Entry[] cells = new Entry[1];
    private int size;
    private int upCount;
    private int removedInCells;
    /** The number of the list that names entries at present: entries of an older one were not named by it. */
    private int generation;

    private boolean listOpen;
    private boolean listEverCompleted;

    /** @param bucketCount buckets of the ring, one for each gateway */
    public EndpointCatalog(int bucketCount) {
        this.bucketCount = bucketCount;
        table = new Entry[bucketCount];
    }

    /** How many endpoints the list has, draining ones included. */
    public int size() {
        return size;
    }

    /** How many of them are up. */
    public int upCount() {
        return upCount;
    }

    /** A complete list begins that may come in parts; one that was begun and not ended removes nothing. */
    public void beginList() {
        generation++;
        listOpen = true;
    }

    /** Whether the first list has begun and not ended: its length is not known yet. */
    boolean isFirstListIncomplete() {
        return listOpen && !listEverCompleted;
    }

    /** The list that was begun has ended: what it did not name is removed. Without a list begun nothing happens. */
    public void endList() {
        if (!listOpen) {
            return;
        }
        for (Entry head : table) {
            chain(head).filter(entry -> entry.generation != generation).forEach(this::remove);
        }
        listOpen = false;
        listEverCompleted = true;
    }

    private static Stream<Entry> chain(Entry head) {
        return Stream.iterate(head, Objects::nonNull, entry -> entry.next);
    }

    /** The endpoint of this id as the list has it, or null. */
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

    /** Takes a complete list, or changes of one, or a part. */
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
            if (++size > table.length || removedInCells > MIN_REMOVED_FOR_REBUILD + size / REMOVED_PART_DIVISOR) {
                rebuild();
            }
            link(entry);
        }
        upCount += (listed.state() == EndpointState.UP ? 1 : 0) - (entry.isUp() ? 1 : 0);
        entry.state = listed.state();
        entry.zone = shared(listed.zone());
        entry.kind = shared(listed.kind());
        entry.startedAt = listed.startedAt();
        entry.weight = listed.weight();
        entry.address = listed.address();
        entry.generation = generation;
    }

    /** One object for all equal words: each list is parsed anew. */
    private String shared(String word) {
        String known =
                sharedWords.size() < MAX_SHARED_WORDS ? sharedWords.putIfAbsent(word, word) : sharedWords.get(word);
        return known == null ? word : known;
    }

    /** Takes the entry out of its chain by id; that of its cell keeps it until the next rebuild. */
    private void remove(Entry entry) {
        upCount -= entry.isUp() ? 1 : 0;
        entry.state = EndpointState.REMOVED;
        int slot = slot(entry.id);
        if (table[slot] == entry) {
            table[slot] = entry.next;
        } else {
            Entry before = table[slot];
            while (before.next != entry) {
                before = before.next;
            }
            before.next = entry.next;
        }
        size--;
        removedInCells++;
    }

    private void link(Entry entry) {
        int slot = slot(entry.id);
        entry.next = table[slot];
        table[slot] = entry;
        int cellSlot = cellSlot(entry.cell);
        entry.nextInCell = cells[cellSlot];
        cells[cellSlot] = entry;
    }

    /** Makes room for more entries, and drops removed ones from the chains of their cells. */
    private void rebuild() {
        Entry[] old = table;
        int slotsPerBucket = 1;
        while ((long) slotsPerBucket * bucketCount < size) {
            slotsPerBucket *= 2;
        }
        table = new Entry[slotsPerBucket * bucketCount];
        cells = new Entry[2 * Integer.highestOneBit(size)];
        removedInCells = 0;
        for (Entry head : old) {
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
                + (spread(id.hashCode()) & (slotsPerBucket - 1));
    }

    private int cellSlot(int cell) {
        return spread(cell) & (cells.length - 1);
    }

    /** Fibonacci hashing (Knuth): numbers in a row do not meet. */
    private static int spread(int hash) {
        int product = hash * FIBONACCI_MULTIPLIER;
        return product ^ (product >>> 16);
    }

    /** The endpoints of these buckets that are up. */
    public Stream<EndpointDescriptor> inBuckets(IntStream buckets) {
        int slotsPerBucket = table.length / bucketCount;
        return buckets.boxed()
                .flatMap(bucket -> Arrays.stream(table, bucket * slotsPerBucket, (bucket + 1) * slotsPerBucket))
                .flatMap(EndpointCatalog::chain)
                .filter(Entry::isUp)
                .map(Entry::descriptor);
    }

    /** The endpoints of a cell that are up. */
    public Stream<EndpointDescriptor> inCell(int cell) {
        return Stream.iterate(cells[cellSlot(cell)], Objects::nonNull, entry -> entry.nextInCell)
                .filter(entry -> entry.cell == cell && entry.isUp())
                .map(Entry::descriptor);
    }
}
