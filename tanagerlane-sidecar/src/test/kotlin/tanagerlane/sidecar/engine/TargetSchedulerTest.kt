package tanagerlane.sidecar.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.model.AttemptId
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import tanagerlane.queueing.QueueLoad
import tanagerlane.queueing.QueueSettings
import tanagerlane.runtime.MonotonicClock
import tanagerlane.sidecar.TargetClient
import tanagerlane.sidecar.engine.RecordedAnswer.Failure
import tanagerlane.standin.engine.EngineServer
import tanagerlane.standin.engine.EngineServerSettings
import tanagerlane.standin.engine.EngineSettings
import tanagerlane.standin.engine.RunCount
import tanagerlane.standin.http.TargetFaults
import kotlin.time.Duration.Companion.seconds

class TargetSchedulerTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val clock = MonotonicClock()
        val engine = EngineServer(vertx, EngineServerSettings(EngineSettings(maximumSequences = WINDOW)))
        var port = 0
        beforeSpec { port = engine.start(0) }
        afterSpec {
            engine.stop()
            vertx.close().coAwait()
        }
        afterTest { engine.faults = TargetFaults() }

        fun scheduler(at: Int = port): TargetScheduler =
            TargetScheduler(
                vertx = vertx,
                targetUrl = "http://127.0.0.1:$at",
                settings = QueueSettings(window = WINDOW, tokenBudget = 10_000),
                call = TargetClient(vertx, "http://127.0.0.1:$at")::run,
                weightOf = { 1 },
                now = clock::now,
            )

        suspend fun awaitStart(id: String) {
            while (engine.runs[RequestId(id)] == null) {
                delay(1)
            }
        }

        test("a batch item that online requests preempt repeatedly gets a complete answer without gaps or duplicates") {
            val scheduler = scheduler()
            val ticks = launch { scheduler.tickLoop() }
            val uninterrupted =
                RecordedAnswer().also {
                    scheduler.run(
                        offer("undisturbed", RequestClass.BATCH),
                        it.sink,
                    )
                }
            val preempted = RecordedAnswer()
            val batch = launch { scheduler.run(offer("disturbed", RequestClass.BATCH), preempted.sink) }
            awaitStart("disturbed")
            repeat(3) { number ->
                delay(20)
                val online = RecordedAnswer().also { scheduler.run(offer("online-$number", tokens = 2), it.sink) }
                online.endCount shouldBe 1
            }
            batch.join()
            ticks.cancel()
            content(preempted) shouldBe content(uninterrupted)
            content(preempted).split(' ').size shouldBe TOKENS
            preempted.endCount shouldBe 1
            val runs = engine.runs.getValue(RequestId("disturbed"))
            runs.copy(resumes = 0) shouldBe RunCount(starts = 1, finished = 1)
            runs.resumes shouldBeGreaterThan 0
            scheduler.load shouldBe idle()
        }

        test("a streamed answer is forwarded byte by byte") {
            val answer = RecordedAnswer().also { scheduler().run(offer("streamed", streamed = true), it.sink) }
            val direct = RecordedAnswer()
            TargetClient(vertx, "http://127.0.0.1:$port").run(offer("streamed", streamed = true), direct.sink)
            answer.text.replace(CREATED, "") shouldBe direct.text.replace(CREATED, "")
            answer.text.endsWith("data: [DONE]\n\n") shouldBe true
            answer.endCount shouldBe 1
        }

        data class FaultCase(
            val name: String,
            val faults: TargetFaults = TargetFaults(),
            val listening: Boolean = true,
            val status: Int? = null,
            val failure: Failure? = null,
        )
        RequestClass.entries.forEach { requestClass ->
            listOf(
                FaultCase("answers with an error", TargetFaults(fail = true), status = 500),
                FaultCase(
                    "resets the connection",
                    TargetFaults(reset = true),
                    failure = Failure(RunState.UNKNOWN, RefusalReason.TARGET_FAILED),
                ),
                FaultCase(
                    "does not listen",
                    listening = false,
                    failure = Failure(RunState.NOT_RUN, RefusalReason.NO_TARGET),
                ),
            ).forEach { case ->
                test("$requestClass work on an engine that ${case.name}") {
                    engine.faults = case.faults
                    val scheduler = scheduler(at = if (case.listening) port else 1)
                    val answer =
                        RecordedAnswer().also {
                            scheduler.run(
                                offer(case.name.replace(' ', '-'), requestClass),
                                it.sink,
                            )
                        }
                    answer.status shouldBe case.status
                    answer.failure shouldBe case.failure
                    scheduler.load shouldBe idle()
                }
            }

            test("$requestClass work that may not begin never reaches the engine") {
                val scheduler = scheduler()
                scheduler.run(offer("barred-$requestClass", requestClass), RecordedAnswer(mayBegin = false).sink)
                engine.runs[RequestId("barred-$requestClass")] shouldBe null
                scheduler.load shouldBe idle()
            }

            test("$requestClass work that is cancelled releases its run and its slot") {
                val scheduler = scheduler()
                val id = "cancelled-$requestClass"
                val run = launch { scheduler.run(offer(id, requestClass, tokens = 5_000), RecordedAnswer().sink) }
                awaitStart(id)
                run.cancelAndJoin()
                scheduler.load shouldBe idle()
                val next = RecordedAnswer().also { scheduler.run(offer("after-$requestClass"), it.sink) }
                next.status shouldBe 200
                engine.runs.getValue(RequestId(id)).finished shouldBe 0
            }
        }

        test("work that arrives while the queue drains is refused as not run") {
            val scheduler = scheduler().apply { drain() }
            val answer = RecordedAnswer().also { scheduler.run(offer("late"), it.sink) }
            answer.failure shouldBe Failure(RunState.NOT_RUN, RefusalReason.SHUTTING_DOWN)
        }
    }) {
    private companion object {
        const val WINDOW = 1
        const val TOKENS = 40
        val CREATED = Regex(""""created":\d+""")

        fun idle() = QueueLoad(0, 0, 0, 0, batchLimit = WINDOW, window = WINDOW, draining = false)

        fun offer(
            id: String,
            requestClass: RequestClass = RequestClass.ONLINE,
            streamed: Boolean = false,
            tokens: Int = TOKENS,
        ): Offer =
            Offer(
                attempt = AttemptId(RequestId(id), 1),
                workspace = WorkspaceName("crews"),
                requestClass = requestClass,
                idempotent = true,
                remaining = 30.seconds,
                work =
                    ChatWork(
                        model = ModelName("finding-models"),
                        body =
                            Payload.of(
                                """{"model":"finding-models","messages":[{"role":"user","content":"is it clear"}],""" +
                                    """"stream":$streamed,"max_tokens":$tokens}""",
                            ),
                        streamed = streamed,
                        maximumTokens = 5_000,
                    ),
                expectedIncarnation = null,
            )

        fun content(answer: RecordedAnswer): String =
            Json
                .parseToJsonElement(answer.text)
                .jsonObject
                .getValue("choices")
                .jsonArray[0]
                .jsonObject
                .getValue("message")
                .jsonObject
                .getValue("content")
                .jsonPrimitive.content
    }
}
