package tanagerlane.runtime.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import tanagerlane.configuration.ConfigurationState
import tanagerlane.configuration.Freshness
import tanagerlane.inventory.CallerKey
import tanagerlane.inventory.Inventory
import tanagerlane.inventory.Site
import tanagerlane.inventory.Workspace
import tanagerlane.model.FailureDomain
import tanagerlane.model.KeyDigest
import tanagerlane.model.Payload
import tanagerlane.model.Revision
import tanagerlane.model.WorkspaceName
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.StoreFaults
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class ConfigurationStoreTest :
    FunSpec({
        for (case in CASES) {
            test(case.name) {
                runTest {
                    val memory = MemoryObjectStore()
                    operator(memory).applyInventory(INVENTORY)
                    operator(memory).issueKey(KEY)
                    case.change(operator(case.store(memory))) shouldBe case.outcome
                    operator(memory)
                        .read()
                        .get()
                        ?.configuration
                        ?.let { it.revision.number to it.keys } shouldBe
                        case.left
                }
            }
        }

        test("every one of several operators' keys is kept beside a new inventory when they race") {
            runTest {
                val memory = MemoryObjectStore().apply { faults = StoreFaults(delay = 5.milliseconds) }
                operator(memory).applyInventory(INVENTORY)
                val issued =
                    (1..5).map { number ->
                        async { operator(memory).issueKey(KEY.copy(digest = KeyDigest("$number"), label = "$number")) }
                    }
                val applied = async { operator(memory).applyInventory(CHANGED, base = Revision(1)) }
                (issued + applied).awaitAll().count { it.isOk } shouldBe 6
                val left = operator(memory).read().get()?.configuration
                left?.inventory shouldBe CHANGED
                left?.keys?.map { it.label }?.sorted() shouldBe listOf("1", "2", "3", "4", "5")
                left?.revision shouldBe Revision(7)
            }
        }

        test("one of two operators who race with inventories is told that its base is stale") {
            runTest {
                val memory = MemoryObjectStore().apply { faults = StoreFaults(delay = 5.milliseconds) }
                operator(memory).applyInventory(INVENTORY)
                val outcomes =
                    listOf(CHANGED, OTHER)
                        .map {
                            async { operator(memory).applyInventory(it, base = Revision(1)) }
                        }.awaitAll()
                outcomes.toSet() shouldBe
                    setOf(Ok(Revision(2)), Err(ConfigurationFailure.StaleBase(Revision(1), Revision(2))))
            }
        }

        test("a watcher brings a withdrawal into force, confirms it, and tells an outage from silence") {
            runTest {
                val memory = MemoryObjectStore()
                val state = ConfigurationState(NORTH, firstNonce = 1)
                val now = { Instant.fromEpochMilliseconds(currentTime) }
                val watcher = ConfigurationWatcher(memory, state, NORTH, now, isWatcher = { true }, onStep = {})
                val running = async { watcher.run() }
                operator(memory).applyInventory(INVENTORY)
                operator(memory).issueKey(KEY)
                val withdrawn = operator(memory).withdrawKey(CLINIC, "desk").get() ?: Revision(0)
                operator(memory).awaitConfirmation(withdrawn, 5.seconds) shouldBe Ok(Unit)
                state.current?.keys?.size shouldBe 0
                state.freshness(now()) shouldBe Freshness.Fresh(now() - state.evidenceTime(now()))
                memory.faults = StoreFaults(down = true)
                testScheduler.advanceTimeBy(6.seconds)
                state.freshness(now()) shouldBe Freshness.Isolated
                operator(memory).awaitConfirmation(Revision(9), 1.seconds).isErr shouldBe true
                running.cancel()
            }
        }

        test("a watcher keeps evidence young while the store answers late") {
            runTest {
                val memory = MemoryObjectStore()
                operator(memory).applyInventory(INVENTORY)
                memory.faults = StoreFaults(delay = 1200.milliseconds)
                val state = ConfigurationState(NORTH, firstNonce = 1)
                val now = { Instant.fromEpochMilliseconds(currentTime) }
                val watcher = ConfigurationWatcher(memory, state, NORTH, now, isWatcher = { true }, onStep = {})
                val running = async { watcher.run() }
                testScheduler.advanceTimeBy(10.seconds)
                repeat(100) {
                    testScheduler.advanceTimeBy(100.milliseconds)
                    state.freshness(now()).canServe shouldBe true
                }
                running.cancel()
            }
        }
    })

private val NORTH = FailureDomain("north")
private val CLINIC = WorkspaceName("clinic")
private val KEY = CallerKey(KeyDigest("digest"), CLINIC, "desk")
private val SECOND_KEY = CallerKey(KeyDigest("second"), CLINIC, "van")
private val INVENTORY =
    Inventory(
        deployment = "small",
        sites = listOf(Site("site", listOf(NORTH))),
        targets = emptyList(),
        workspaces = listOf(Workspace(CLINIC, 1.0, 1)),
    )
private val CHANGED = INVENTORY.copy(workspaces = listOf(Workspace(CLINIC, 2.0, 2)))
private val OTHER = INVENTORY.copy(workspaces = listOf(Workspace(CLINIC, 3.0, 3)))

private fun operator(store: ObjectStore): ConfigurationStore {
    val name = "operator-${operators++}"
    var changes = 0
    return ConfigurationStore(store, newIdentity = { "$name-${changes++}" }, retryInterval = 20.milliseconds)
}

private var operators = 0

private fun ConfigurationState.evidenceTime(now: Instant): Instant =
    when (val freshness = freshness(now)) {
        is Freshness.Fresh -> now - freshness.evidenceAge
        else -> error("not fresh: $freshness")
    }

/** Loses the answers of the first [lost] writes, which take effect, or never reach the store where [reach] is false. */
private class LossyStore(
    private val store: ObjectStore,
    private var lost: Int,
    private val reach: Boolean,
) : ObjectStore by store {
    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        val answer = if (reach || lost == 0) store.put(key, value, expected) else Err(LOST)
        return if (lost-- > 0) Err(LOST) else answer
    }

    private companion object {
        val LOST = StoreFailure.OutcomeUnknown("lost")
    }
}

private class ChangeCase(
    val name: String,
    val outcome: Result<Revision, ConfigurationFailure>,
    val left: Pair<Long, List<CallerKey>>,
    val store: (MemoryObjectStore) -> ObjectStore = { it },
    val change: suspend (ConfigurationStore) -> Result<Revision, ConfigurationFailure>,
)

private val CASES =
    listOf(
        ChangeCase("a key is issued", Ok(Revision(3)), 3L to listOf(KEY, SECOND_KEY)) { it.issueKey(SECOND_KEY) },
        ChangeCase("a key is withdrawn", Ok(Revision(3)), 3L to emptyList()) { it.withdrawKey(CLINIC, "desk") },
        ChangeCase("the same key again changes nothing", Ok(Revision(2)), 2L to listOf(KEY)) { it.issueKey(KEY) },
        ChangeCase(
            "a label is used once",
            Err(ConfigurationFailure.DuplicateLabel(CLINIC, "desk")),
            2L to listOf(KEY),
        ) {
            it.issueKey(SECOND_KEY.copy(label = "desk"))
        },
        ChangeCase(
            "a key needs its workspace",
            Err(ConfigurationFailure.UnknownWorkspace(WorkspaceName("none"))),
            2L to listOf(KEY),
        ) {
            it.issueKey(SECOND_KEY.copy(workspace = WorkspaceName("none")))
        },
        ChangeCase(
            "an unknown key is not withdrawn",
            Err(ConfigurationFailure.UnknownKey(CLINIC, "van")),
            2L to listOf(KEY),
        ) {
            it.withdrawKey(CLINIC, "van")
        },
        ChangeCase("keys go with their workspace", Ok(Revision(3)), 3L to emptyList()) {
            it.applyInventory(INVENTORY.copy(workspaces = emptyList()))
        },
        ChangeCase("a key issued since the base is no conflict", Ok(Revision(3)), 3L to listOf(KEY)) {
            it.applyInventory(CHANGED, Revision(1))
        },
        ChangeCase(
            "an inventory applied since the base is a conflict",
            Err(ConfigurationFailure.StaleBase(Revision(0), Revision(1))),
            2L to listOf(KEY),
        ) { it.applyInventory(CHANGED, Revision(0)) },
        ChangeCase(
            "a write whose answer was lost is made once",
            Ok(Revision(3)),
            3L to emptyList(),
            store = { LossyStore(it, lost = 1, reach = true) },
        ) { it.withdrawKey(CLINIC, "desk") },
        ChangeCase(
            "a write that never arrived is made again",
            Ok(Revision(3)),
            3L to emptyList(),
            store = { LossyStore(it, lost = 1, reach = false) },
        ) { it.withdrawKey(CLINIC, "desk") },
        ChangeCase(
            "a write that can't be settled is reported as unknown",
            Err(ConfigurationFailure.OutcomeUnknown(StoreFailure.OutcomeUnknown("lost"))),
            2L to listOf(KEY),
            store = { LossyStore(it, lost = 100, reach = false) },
        ) { it.withdrawKey(CLINIC, "desk") },
    )
