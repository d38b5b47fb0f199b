package tanagerlane.scenario

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import java.time.LocalTime
import java.util.concurrent.atomic.AtomicBoolean

class StopScenarioTest :
    FunSpec({
        val kinds =
            listOf(
                Load("streams", engines = 2, services = 0) { caller, marker ->
                    val events = caller.stream(marker, tokens = 60).toList()
                    Caller.Answer(if (events.last() == "[DONE]") 200 else 0, events.joinToString("\n"))
                },
                Load("calls that may not be repeated", engines = 0, services = 2) { caller, marker ->
                    caller.post("/services/log-store/logs/1", marker)
                },
            )

        for (load in kinds) {
            test("no request is cut or refused while every process is stopped and started in turn: ${load.name}") {
                Scenario(load.engines, load.services).use { scenario ->
                    scenario.begin()
                    val results = scenario.restartAllUnder(load)
                    withClue(scenario.logs()) { failuresOf(results) shouldBe emptyMap() }
                    val received = scenario.targets.flatMap { it.calls() }.map { it.toString() }
                    results.map { result -> received.count { result.marker in it } } shouldBe results.map { 1 }
                    results.size shouldBeGreaterThan WORKERS
                }
            }
        }
    }) {
    private companion object {
        const val WORKERS = 4

        suspend fun Scenario.restartAllUnder(load: Load): List<Sent> =
            coroutineScope {
                val isOver = AtomicBoolean()
                val balancer = Balancer(entries)
                val workers =
                    (1..WORKERS).map { worker -> async(Dispatchers.IO) { work(worker, load, balancer, isOver) } }
                try {
                    restartAll()
                } finally {
                    isOver.set(true)
                }
                workers.flatMap { it.await() }.sortedBy { it.at }.also { balancer.close() }
            }

        suspend fun Scenario.restartAll() {
            for (node in entries + sidecars) {
                node.process.stop()
                node.process.startAgain()
                awaitReady(usable = targets.size)
            }
        }

        fun Scenario.work(
            worker: Int,
            load: Load,
            balancer: Balancer,
            isOver: AtomicBoolean,
        ): List<Sent> {
            val callers = entries.indices.map { caller(it) }
            return generateSequence(1) { it + 1 }
                .takeWhile { !isOver.get() }
                .map { "request $worker-$it." }
                .map { marker -> sent(marker) { balancer.send(callers) { load.send(it, marker) } } }
                .toList()
        }

        /** How often and between which times of day each kind of failure was seen. */
        fun failuresOf(results: List<Sent>): Map<String, String> =
            results
                .filter { it.answer?.status != 200 }
                .groupBy { it.failure ?: it.answer.toString() }
                .mapValues { (_, sent) -> "${sent.size} of ${results.size}, ${sent.first().at} to ${sent.last().at}" }

        fun sent(
            marker: String,
            send: () -> Caller.Answer,
        ): Sent =
            runCatching(send).fold(
                onSuccess = { Sent(marker, it, null, LocalTime.now()) },
                onFailure = { Sent(marker, null, it.toString(), LocalTime.now()) },
            )
    }

    /** A kind of request that callers keep sending. */
    class Load(
        val name: String,
        val engines: Int,
        val services: Int,
        val send: (Caller, String) -> Caller.Answer,
    )

    /** A request and what came of it. */
    data class Sent(
        val marker: String,
        val answer: Caller.Answer?,
        val failure: String?,
        val at: LocalTime,
    )
}
