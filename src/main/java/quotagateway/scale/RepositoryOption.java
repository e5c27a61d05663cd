package quotagateway.scale;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option of all commands that start real nodes: where the built repository is. */
public final class RepositoryOption {
    @Option(
            names = "--root",
            defaultValue = ".",
            description = "the repository's folder, built (default ${DEFAULT-VALUE})")
    private Path root;

    /** The folder that has the deploy file and the built jar. */
    public Path root() {
        return root;
    }
}
