package tanagerlane.schema

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension

/**
 * Generates all types of the schema folder.
 *
 * The first argument is the folder of schema files, the second the folder that receives the sources.
 */
public fun main(arguments: Array<String>) {
    require(arguments.size == 2) { "expected a schema folder and an output folder, got ${arguments.toList()}" }
    val output = Path.of(arguments[1])
    for (file in TypeGenerator(readSchemaFolder(Path.of(arguments[0]))).generate()) {
        file.writeTo(output)
    }
}

/** Reads every schema file in [folder], in the order of the file names. */
public fun readSchemaFolder(folder: Path): List<SchemaFile> =
    Files.list(folder).use { paths ->
        paths
            .filter { it.extension == "toml" }
            .sorted()
            .map { SchemaFile.read(it) }
            .toList()
    }
