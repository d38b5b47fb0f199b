package tanagerlane.jobs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import tanagerlane.standin.store.StoreCalls
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class JobSizeTest :
    FunSpec({
        for (size in sizes) {
            test("${size.items} items on ${size.hosts} hosts need few calls of the object API") {
                runTest(timeout = 10.minutes) {
                    val bench = JobBench(this, itemTime = size.itemTime, capacity = { size.capacity })
                    val items = List(size.items) { "item-$it" }
                    bench.submit(items)
                    val submitted = bench.store.calls
                    repeat(size.hosts) { bench.startHost("host-$it") }
                    val began = bench.now()
                    while (bench.runs.size < size.items) {
                        delay(1.seconds)
                    }
                    val elapsed = bench.now() - began
                    bench.awaitPhaseEnd()
                    val ran = bench.store.calls
                    bench.readResults()
                    bench.outcomes() shouldBe items.associateWith { "ANSWERED" }
                    bench.runs.values.max() shouldBe 1
                    val writes = size.perThousand(ran.writes)
                    println(size.report(submitted, ran, elapsed))
                    writes shouldBeLessThan size.mostWritesPerThousand
                }
            }
        }

        test("hosts without work make few calls of the object API") {
            runTest {
                val bench = JobBench(this)
                repeat(IDLE_HOSTS) { bench.startHost("host-$it") }
                delay(1.hours)
                val calls = bench.store.calls
                println("idle: hosts=$IDLE_HOSTS hours=1 $calls")
                (calls.reads + calls.watches) / IDLE_HOSTS shouldBe 121
                calls.writes shouldBe 0
            }
        }
    })

private const val IDLE_HOSTS = 10
private const val THOUSAND = 1000.0

private data class JobSize(
    val items: Int,
    val hosts: Int,
    val capacity: Int,
    val itemTime: Duration,
    val mostWritesPerThousand: Double,
) {
    fun perThousand(calls: Long): Double = calls * THOUSAND / items

    fun report(
        submitted: StoreCalls,
        ran: StoreCalls,
        elapsed: Duration,
    ): String =
        "items=$items hosts=$hosts capacity=$capacity itemTime=$itemTime elapsed=$elapsed per 1000 items: " +
            "submission writes=%.1f, ".format(perThousand(submitted.writes)) +
            "run writes=%.1f, ".format(perThousand(ran.writes - submitted.writes)) +
            "run reads=%.1f, ".format(perThousand(ran.reads - submitted.reads)) +
            "run watches=%.1f".format(perThousand(ran.watches - submitted.watches))
}

private val sizes =
    listOf(
        JobSize(items = 500, hosts = 8, capacity = 8, itemTime = 5.seconds, mostWritesPerThousand = 600.0),
        JobSize(items = 28_000, hosts = 50, capacity = 8, itemTime = 5.seconds, mostWritesPerThousand = 100.0),
        JobSize(items = 150_000, hosts = 100, capacity = 16, itemTime = 5.seconds, mostWritesPerThousand = 50.0),
    )
