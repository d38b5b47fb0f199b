package tanagerlane.cli.operator

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import tanagerlane.cli.rootCommand
import tanagerlane.keys.PresentedKey
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.StoreFaults
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

class OperatorCommandsTest :
    FunSpec({
        test("an inventory is applied, changed on its base and refused on a stale one") {
            val desk = Desk()
            desk.run("inventory apply $EXAMPLE").lastLine() shouldBe "revision: 1"
            desk.run("key issue --workspace training --label desk").lastLine() shouldBe "revision: 2"
            val changed = desk.file(Path.of(EXAMPLE).readText().replace("burst = 4\n", "burst = 5\n"))
            desk.run("inventory diff $changed").output shouldBe "~ workspace training\nbase: 2\n"
            desk.run("inventory apply $changed --base 2").output shouldBe "~ workspace training\nrevision: 3\n"
            desk.run("inventory apply $EXAMPLE --base 2").failure() shouldBe
                "1 tanagerlane: the inventory was changed at revision 3, after 2; run inventory diff again\n"
            desk.run("inventory show").output shouldContain "\"burst\": 5"
            desk.run("status").output shouldContain "workspaces: 8, keys: 1\n"
        }

        test("a key is shown once, listed by its digest and withdrawn") {
            val desk = Desk()
            desk.run("inventory apply $EXAMPLE")
            val key =
                desk
                    .run(
                        "key issue --workspace training --label desk",
                    ).output
                    .lines()
                    .first()
                    .removePrefix("key: ")
            desk.run("key list").output.trim() shouldBe "training  desk  ${PresentedKey(key).digest()}"
            desk.run("key withdraw --workspace training --label desk").lastLine() shouldBe "revision: 3"
            desk.run("key list").output shouldBe ""
            desk.run("key withdraw --workspace training --label desk").failure() shouldBe
                "1 tanagerlane: workspace training has no key desk\n"
        }

        test("nothing is applied when there is a fault, and each fault is one line") {
            val desk = Desk()
            val faulty =
                desk.file(
                    Path
                        .of(EXAMPLE)
                        .readText()
                        .replace("window = 16", "window = 0")
                        .replace("\"30s\"", "30"),
                )
            desk
                .run("inventory apply $faulty")
                .stderr
                .trim()
                .lines()
                .size shouldBe 9
            desk.run("inventory validate $faulty").statusCode shouldBe 1
            desk.run("inventory show").failure() shouldBe "1 tanagerlane: no inventory has been applied yet\n"
        }

        test("an object API that can't be reached and a change that nobody confirms are told apart") {
            val desk = Desk()
            desk.run("inventory apply $EXAMPLE --confirm 1s").failure() shouldBe
                "1 tanagerlane: revision 1 was written but not confirmed by dk-east-1, dk-east-2, dk-east-3\n"
            desk.store.faults = StoreFaults(down = true)
            desk.run("key list").failure() shouldBe
                "1 tanagerlane: the object API can't be reached (object API is down)\n"
            desk.run("key issue --workspace training --label desk").failure() shouldBe
                "1 tanagerlane: nothing was changed: the object API can't be reached (object API is down)\n"
        }

        test("an order is stored for a known target, shown, and refused on a base that is not the latest") {
            val desk = Desk()
            desk.run("inventory apply $EXAMPLE")
            desk.run("order show finding-models-1").failure() shouldBe
                "1 tanagerlane: there is no order for finding-models-1\n"
            desk.run("order apply finding-models-1 --adapter frost --role decode").output shouldBe "revision: 1\n"
            desk.run("order apply finding-models-1 --adapter thaw --base 0").failure() shouldBe
                "1 tanagerlane: another operator's order of revision 1 came after 0; run order show\n"
            desk.run("order show finding-models-1").output shouldBe
                "revision: 1\nadapter: frost\nrole: decode\nphase: wanted\n"
            desk.run("order apply finding-models-1").failure() shouldBe "1 tanagerlane: the order asks for nothing\n"
            desk.run("order apply nowhere --model finding").failure() shouldBe
                "1 tanagerlane: no target is named nowhere\n"
            desk.store.faults = StoreFaults(down = true)
            desk.run("order show finding-models-1").failure() shouldBe
                "1 tanagerlane: the object API can't be reached (object API is down)\n"
        }

        for (command in listOf(
            "",
            "inventory",
            "inventory apply",
            "inventory diff",
            "key issue",
            "key withdraw",
            "order apply",
            "status",
            "refusals",
            "job submit",
            "limits",
        )) {
            test("help is shown for \"$command\"") {
                val result = Desk().run("$command --help")
                result.statusCode shouldBe 0
                result.output shouldContain "Usage: tanagerlane"
            }
        }
    })

private val EXAMPLE = Path.of("..", "examples", "sporskifte", "inventory.toml").toString()

/** The command line of one operator against an object API in memory. */
private class Desk {
    val store = MemoryObjectStore()

    fun run(line: String): CliktCommandTestResult =
        rootCommand { store }.test(line, envvars = mapOf("TANAGERLANE_OBJECT_API" to "http://127.0.0.1:1"))

    fun file(text: String): Path = Files.createTempFile("inventory", ".toml").also { it.writeText(text) }
}

private fun CliktCommandTestResult.lastLine(): String = output.trim().lines().last()

private fun CliktCommandTestResult.failure(): String = "$statusCode $stderr"
