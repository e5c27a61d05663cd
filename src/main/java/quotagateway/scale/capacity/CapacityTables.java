package quotagateway.scale.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Prints the tables of the capacity page from its model and what has been measured, or puts them in. */
public final class CapacityTables {
    private static final String USAGE = """
        usage: capacity [--model FILE] [--measurements FILE] [--write PAGE | --check PAGE] [TABLE...]
        Prints the tables of docs/CAPACITY.md: all, or those named.
          --model FILE         sizes, budgets, assumptions and rows (docs/capacity/model.json)
          --measurements FILE  what runs have measured (docs/capacity/measurements.json)
          --write PAGE         puts the tables in between the page's markers
          --check PAGE         exit code 1 where the page says something else
        """;
    private static final int DIFFERS = 1;
    private static final int BAD = 2;

    private Path model = Path.of("docs/capacity/model.json");
    private Path measurements = Path.of("docs/capacity/measurements.json");
    private Path page;
    private boolean write;
    private boolean help;
    private final List<String> names = new ArrayList<>();

    private CapacityTables() {}

    /** The command on its own. */
    public static void main(String[] args) {
        int code = run(args, System.out, System.err);
        System.out.flush();
        System.exit(code);
    }

    /** Runs the command: 0, or 1 where a checked page differs, or 2 and one line where the input is bad. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        try {
            CapacityTables command = new CapacityTables();
            command.read(args);
            return command.act(out, err);
        } catch (InvalidInputException bad) {
            err.println("capacity: " + bad.getMessage());
            return BAD;
        }
    }

    private void read(String[] args) {
        for (int i = 0; i < args.length; i++) {
            switch (args[i]) {
                case "--help", "-h" -> help = true;
                case "--model" -> model = file(args, ++i);
                case "--measurements" -> measurements = file(args, ++i);
                case "--write", "--check" -> {
                    if (page != null) {
                        throw new InvalidInputException("one of --write and --check, once");
                    }
                    write = args[i].equals("--write");
                    page = file(args, ++i);
                }
                default -> {
                    if (args[i].startsWith("-")) {
                        throw new InvalidInputException("unknown option '" + args[i] + "'; see --help");
                    }
                    names.add(args[i]);
                }
            }
        }
        if (page != null && !names.isEmpty()) {
            throw new InvalidInputException("a page holds all tables: name none beside --write and --check");
        }
    }

    private static Path file(String[] args, int i) {
        if (i >= args.length || args[i].isEmpty() || args[i].startsWith("--")) {
            throw new InvalidInputException("a file expected behind " + args[i - 1]);
        }
        return Path.of(args[i]);
    }

    private int act(PrintStream out, PrintStream err) {
        if (help) {
            out.print(USAGE);
            return 0;
        }
        Map<String, String> tables = Tables.of(CapacityModel.read(model, Measurements.read(measurements)));
        if (page != null) {
            return page(tables, err);
        }
        for (String name : names) {
            if (!tables.containsKey(name)) {
                throw new InvalidInputException(
                        "no table '" + name + "'; there are " + String.join(" ", tables.keySet()));
            }
        }
        tables.forEach((name, text) -> {
            if (names.isEmpty() || names.contains(name)) {
                out.print(name + "\n\n" + text + "\n");
            }
        });
        return 0;
    }

    private int page(Map<String, String> tables, PrintStream err) {
        try {
            String before = Files.readString(page);
            String after = CapacityPage.filled(before, tables, page.toString());
            if (!write && !before.equals(after)) {
                err.println("capacity: " + page + " differs from what its files give; write it again");
                return DIFFERS;
            }
            if (write) {
                Files.writeString(page, after);
            }
            return 0;
        } catch (IOException e) {
            throw new InvalidInputException(page + ": cannot be " + (write ? "read or written" : "read"));
        }
    }
}
