package tanagerlane.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import tanagerlane.inventory.Configuration
import tanagerlane.inventory.Workspace
import tanagerlane.keys.KeyRing
import tanagerlane.keys.PresentedKey
import tanagerlane.message.ConfigurationChanges
import tanagerlane.message.ConfigurationDocument
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.model.Revision
import tanagerlane.model.WorkspaceName
import kotlin.random.Random
import kotlin.time.Instant

class ConfigurationDocumentTest :
    FunSpec({
        test("1,300 workspaces with 6 keys each fit into one object and decode to the same configuration") {
            val configuration =
                Configurations.of(
                    revision = 5,
                    domains = 4,
                    workspaces = 1_300,
                    keysEach = 6,
                    targets = 600,
                )
            val content = ConfigurationCodec.encode(configuration)
            println("document of 1,300 workspaces, 7,800 keys, 600 targets: ${content.size} B")
            content.size shouldBeLessThan (1 shl 20)
            ConfigurationCodec.decode(content).get() shouldBe configuration
        }

        test("truncated or damaged content is rejected") {
            val plain = ConfigurationCodec.encode(Configurations.of(revision = 1)).toByteArray()
            val compressed =
                ConfigurationCodec
                    .encode(
                        Configurations.of(revision = 1, workspaces = 2_000),
                    ).toByteArray()
            val truncated =
                plain.indices.map { plain.take(it).toByteArray() } +
                    listOf(compressed.take(compressed.size / 2).toByteArray())
            val damaged = truncated + listOf("text".encodeToByteArray(), byteArrayOf(0x1f))
            damaged.map { ConfigurationCodec.decode(Payload.of(it)).getError() }.forEach {
                it.shouldBeInstanceOf<ConfigurationFault.Undecodable>()
            }
        }

        for (case in CHANGES) {
            test("${case.name} is encoded as one change that yields the same configuration") {
                val base = Configurations.of(revision = 1)
                val changed = case.change(base).copy(revision = Revision(2))
                val difference = differenceOf(base, changed).shouldNotBeNull()
                base.withChange(difference) shouldBe changed
                listOf(difference.targets, difference.workspaces, difference.keys).sumOf { it.size } shouldBe
                    case.entries
            }
        }

        test("a configuration whose entries are reordered is not encoded as a change") {
            val base = Configurations.of(revision = 1)
            differenceOf(base, base.copy(revision = Revision(2), keys = base.keys.reversed())) shouldBe null
        }

        test("changes on another base are rejected and older ones are skipped") {
            val state = stateWith(Configurations.of(revision = 5))
            val from = HostName("peer")
            val ahead = differenceOf(Configurations.of(revision = 7), Configurations.of(revision = 8)).shouldNotBeNull()
            val behind =
                differenceOf(
                    Configurations.of(revision = 2),
                    Configurations.of(revision = 3),
                ).shouldNotBeNull()
            val next = differenceOf(Configurations.of(revision = 5), Configurations.of(revision = 6)).shouldNotBeNull()
            state.receive(from, ConfigurationChanges(listOf(ahead)), START).fault shouldBe
                ConfigurationFault.NoBase(Revision(5))
            state.receive(from, ConfigurationChanges(listOf(next, ahead)), START).fault shouldBe
                ConfigurationFault.NoBase(Revision(5))
            state.receive(from, ConfigurationChanges(listOf(behind)), START).fault shouldBe null
            state.receive(from, ConfigurationChanges(listOf(behind, next)), START).accepted shouldBe Revision(6)
        }

        test("a lower revision is accepted neither from the store nor from a peer") {
            val state = stateWith(Configurations.of(revision = 5))
            val older = Configurations.of(revision = 4)
            state.onStoreRead(older, START, START).accepted shouldBe null
            state
                .receive(
                    HostName("peer"),
                    ConfigurationDocument(ConfigurationCodec.encode(older)),
                    START,
                ).accepted shouldBe
                null
            state.current?.configuration?.revision shouldBe Revision(5)
        }

        test("a key is found in a revision that contains it and not after its withdrawal") {
            val key = PresentedKey.of(Random(3).nextBytes(PresentedKey.RANDOM_BYTES))
            val issued = Configurations.key(workspace = 1, number = 1, random = Random(3))
            val configuration = Configurations.of(revision = 1).copy(keys = listOf(issued))
            val withdrawn = configuration.copy(revision = Revision(2), keys = emptyList())
            KeyRing.of(configuration).find(key) shouldBe issued
            KeyRing.of(withdrawn).find(key) shouldBe null
            KeyRing.of(configuration).find(PresentedKey("${key.text}x")) shouldBe null
            key.toString() shouldBe "PresentedKey(hidden)"
        }
    })

private val START = Instant.fromEpochSeconds(0)

private fun stateWith(configuration: Configuration): ConfigurationState {
    val state = ConfigurationState(FailureDomain("site-1"), firstNonce = 1)
    state.onStoreRead(configuration, START, START)
    return state
}

private class ChangeCase(
    val name: String,
    val entries: Int,
    val change: (Configuration) -> Configuration,
)

private val CHANGES =
    listOf(
        ChangeCase("an issued key", entries = 1) { it.copy(keys = it.keys + Configurations.key(2, 9, Random(9))) },
        ChangeCase("a withdrawn key", entries = 0) { it.copy(keys = it.keys.drop(1)) },
        ChangeCase("a raised rate", entries = 1) { base ->
            val workspaces =
                base.inventory.workspaces.map {
                    if (it.name.text ==
                        "workspace-3"
                    ) {
                        it.copy(rate = 99.0)
                    } else {
                        it
                    }
                }
            base.copy(inventory = base.inventory.copy(workspaces = workspaces))
        },
        ChangeCase("a replaced workspace", entries = 1) { base ->
            val workspaces = base.inventory.workspaces.drop(1) + Workspace(WorkspaceName("new"), 1.0, 1)
            base.copy(inventory = base.inventory.copy(workspaces = workspaces))
        },
        ChangeCase("a leaving target and other rules", entries = 1) { base ->
            val targets = base.inventory.targets.mapIndexed { index, target -> target.copy(leaving = index == 2) }
            val rules = base.inventory.rules.copy(itemAttempts = 5)
            base.copy(inventory = base.inventory.copy(targets = targets, rules = rules))
        },
    )
