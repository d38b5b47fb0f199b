package tanagerlane.schema

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText
import kotlin.io.path.relativeTo
import kotlin.streams.asSequence

class CommittedSourcesTest :
    FunSpec({
        val committed = Path.of("../tanagerlane-model/src/generated/kotlin")

        test("the committed sources are what the schema generates") {
            val generated =
                TypeGenerator(readSchemaFolder(Path.of("src/main/schema")))
                    .generate()
                    .associate { it.relativePath to it.toString() }
            sourcesBelow(committed) shouldBe generated
        }
    })

private fun sourcesBelow(folder: Path): Map<String, String> =
    Files.walk(folder).use { paths ->
        paths
            .asSequence()
            .filter { it.extension == "kt" }
            .associate { it.relativeTo(folder).toString() to it.readText() }
    }
