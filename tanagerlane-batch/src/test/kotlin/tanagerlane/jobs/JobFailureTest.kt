package tanagerlane.jobs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import tanagerlane.standin.store.StoreFaults
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class JobFailureTest :
    FunSpec({
        for (scenario in scenarios) {
            test("every item has one lasting result: ${scenario.name}") {
                runTest(timeout = REAL_LIMIT) {
                    val bench = JobBench(this)
                    HOSTS.forEach { bench.startHost(it) }
                    val items = plainItems(ITEMS)
                    bench.submit(items)
                    scenario.script(this, bench)
                    bench.awaitEnd()
                    bench.outcomes() shouldBe items.associateWith { "ANSWERED" }
                    delay(10.minutes)
                    bench.readResults()
                    bench.runs.values.max() shouldBeLessThanOrEqual scenario.mostRuns
                }
            }
        }

        test("items that fail or kill their host end as failed, all others are answered") {
            runTest(timeout = REAL_LIMIT) {
                val bench = JobBench(this)
                HOSTS.forEach { bench.startHost(it) }
                restartForever(bench, HOSTS)
                val answered = plainItems(ITEMS)
                val poisoned = listOf("poisoned-0", "poisoned-1")
                val killers = listOf("killer-0", "killer-1")
                bench.submit(answered.take(50) + killers + poisoned + answered.drop(50))
                val status = bench.awaitEnd()
                val expected =
                    answered.associateWith { "ANSWERED" } +
                        poisoned.associateWith { "ATTEMPTS_FAILED" } +
                        killers.associateWith { "HOLDERS_LOST" }
                bench.outcomes() shouldBe expected
                status.failedItems shouldBe 4
                poisoned.forEach { bench.runs.getValue(it) shouldBeInRange 3..5 }
                killers.forEach { bench.runs.getValue(it) shouldBeInRange 1..3 }
            }
        }

        for (seed in 1..PROPERTY_SEEDS) {
            test("every item has one lasting result under random faults, seed $seed") {
                runTest(timeout = REAL_LIMIT) {
                    val bench = JobBench(this, itemTime = 7.seconds)
                    HOSTS.forEach { bench.startHost(it) }
                    val items = plainItems(ITEMS)
                    bench.submit(items)
                    val faults = launch { randomFaults(bench, Random(seed)) }
                    withClue("seed $seed") {
                        bench.awaitEnd()
                        faults.join()
                        bench.readResults()
                        bench.outcomes().keys shouldBe items.toSet()
                        bench.outcomes().values.toSet() shouldBe setOf("ANSWERED")
                    }
                }
            }
        }
    })

private val HOSTS = listOf("a", "b", "c")
private const val ITEMS = 300
private const val PROPERTY_SEEDS = 25
private val REAL_LIMIT: Duration = 60.seconds

private fun plainItems(count: Int): List<String> = List(count) { "item-$it" }

private data class Scenario(
    val name: String,
    val mostRuns: Int,
    val script: suspend TestScope.(JobBench) -> Unit,
)

private val scenarios =
    listOf(
        Scenario("no fault", 1) { },
        Scenario("a host is killed", 2) { bench ->
            delay(9.seconds)
            bench.kill("a")
        },
        Scenario("a host is killed and comes back", 2) { bench ->
            delay(9.seconds)
            bench.kill("a")
            delay(3.seconds)
            bench.startHost("a")
        },
        Scenario("a host is frozen past its lease and goes on", 2) { bench ->
            delay(9.seconds)
            bench.freeze("a", frozen = true)
            delay(10.minutes)
            bench.freeze("a", frozen = false)
        },
        Scenario("two hosts are frozen in turn, the third is killed", 4) { bench ->
            delay(9.seconds)
            bench.freeze("a", frozen = true)
            delay(70.seconds)
            bench.freeze("b", frozen = true)
            bench.freeze("a", frozen = false)
            bench.kill("c")
            delay(5.minutes)
            bench.freeze("b", frozen = false)
        },
        Scenario("the store is down for long", 1) { bench ->
            delay(9.seconds)
            bench.store.faults = StoreFaults(down = true)
            delay(3.hours)
            bench.store.faults = StoreFaults()
        },
        Scenario("the store is slow", 1) { bench ->
            bench.store.faults = StoreFaults(delay = 3.seconds)
        },
        Scenario("answers of the store are lost for long", 1) { bench ->
            bench.store.faults = StoreFaults(loseAnswers = true)
            delay(10.minutes)
            bench.store.faults = StoreFaults()
        },
        Scenario("the job is sent again while it runs and after its end", 1) { bench ->
            delay(9.seconds)
            bench.submit(plainItems(ITEMS)).joined shouldBe true
            bench.awaitEnd()
            bench.submit(plainItems(ITEMS)).joined shouldBe true
        },
        Scenario("every host is stopped in order and replaced", 1) { bench ->
            delay(9.seconds)
            for (host in HOSTS) {
                val next = "next-$host"
                bench.startHost(next)
                bench.stop(host)
            }
        },
    )

/** Starts hosts again some time after they were killed. */
private fun TestScope.restartForever(
    bench: JobBench,
    hosts: List<String>,
) {
    for (host in hosts) {
        backgroundScope.launch {
            while (true) {
                delay(20.seconds)
                if (!bench.isAlive(host)) {
                    bench.startHost(host)
                }
            }
        }
    }
}

private suspend fun randomFaults(
    bench: JobBench,
    random: Random,
) {
    repeat(6) {
        delay(random.nextLong(1_000, 40_000).milliseconds)
        val host = HOSTS.random(random)
        val length = random.nextLong(100, 300_000).milliseconds
        when (random.nextInt(5)) {
            0 -> bench.replace(host, length)
            1 -> bench.frozen(host, length)
            2 -> bench.faulty(StoreFaults(down = true), length)
            3 -> bench.faulty(StoreFaults(loseAnswers = true), length)
            else -> bench.faulty(StoreFaults(delay = random.nextLong(10, 9_000).milliseconds), length)
        }
    }
}

private suspend fun JobBench.replace(
    host: String,
    length: Duration,
) {
    kill(host)
    delay(length)
    startHost(host)
}

private suspend fun JobBench.frozen(
    host: String,
    length: Duration,
) {
    freeze(host, frozen = true)
    delay(length)
    freeze(host, frozen = false)
}

private suspend fun JobBench.faulty(
    faults: StoreFaults,
    length: Duration,
) {
    store.faults = faults
    delay(length)
    store.faults = StoreFaults()
}
