package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.FakeTarget.EarlyEnd
import tanagerlane.direct.FakeTarget.EndKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against streams that leave a silent target, which would go on, although they may not go on elsewhere. */
class LeftUnconfirmedTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        for (isAway in listOf(false, true)) {
            test("a stream whose target is silent for 900 ms ends whole, object API away $isAway") {
                val targets = List(2) { FakeTarget(vertx, "t$it", version = "v1").start() }
                val deployment = FakeDeployment(vertx, targets).also { it.prepare() }
                val store = FlakyStore(deployment.store)
                val entry = deployment.start("entry-1", "entry", ownStore = store)

                suspend fun send(
                    path: String,
                    id: String,
                ) = withContext(Dispatchers.IO) { RawCaller.send(entry.port, path, id) }
                eventually(10.seconds) { send("/ready", "r")?.status shouldBe 200 }
                targets.forEach { target ->
                    target.endsEarly = {
                        EarlyEnd(events = 3, delayMilliseconds = 900, kind = EndKind.LATE_ANSWER)
                            .takeIf { targets.sumOf { it.runs.size } == 1 }
                    }
                }
                store.isUnavailable = isAway
                delay(300.milliseconds)
                send("/streams/1", "first")?.isWhole shouldBe true
            }
        }
    })
