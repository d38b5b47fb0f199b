package tanagerlane.direct

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.slf4j.LoggerFactory
import tanagerlane.membership.Member
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.ViewObject
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.runtime.MonotonicClock
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.views.ObjectView
import tanagerlane.wire.WireEndpoint
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MembershipTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val scope = CoroutineScope(Job())
        val clock = MonotonicClock()
        val logged = ListAppender<ILoggingEvent>().apply { start() }
        val logger = LoggerFactory.getLogger("tanagerlane.direct") as Logger
        beforeSpec { logger.addAppender(logged) }
        beforeTest { logged.list.clear() }
        afterSpec {
            logger.detachAppender(logged)
            scope.coroutineContext[Job]?.cancel()
            vertx.close().coAwait()
        }

        fun fleet(): Fleet {
            val hello = Hello(1, HostName("entry-1"), HostRole.ENTRY, Incarnation(1), FailureDomain("a"))
            return Fleet(vertx, hello, scope, WireEndpoint(hello, scope, now = clock::now), clock::now, { _, _ -> }, {})
        }

        fun member(
            host: String,
            address: String = "127.0.0.1:8080",
        ): String {
            val member = Member(HostName(host), HostRole.ENTRY, Incarnation(1), FailureDomain("a"), address)
            return Json.encodeToString(Member.serializer(), member)
        }

        listOf(
            "",
            "7",
            "null",
            "{}",
            "[".repeat(200_000),
            "{\"host\":${"[".repeat(200_000)}",
            "{\"more\":${"[".repeat(200_000)}",
            "{\"more\":${"{\"a\":".repeat(200_000)}",
            member("b").replace(":1,", ":1e300,"),
            member("b").replace(":1,", ":${"7".repeat(100_000)},"),
            member("b").replace("ENTRY", "NONE").replace("entry", "none"),
        ).forEach { odd ->
            test("the odd registration ${odd.take(60)} costs no other and is logged once for each version") {
                val fleet = fleet()
                val membership = Membership(MemoryObjectStore(), fleet, clock::now)

                fun view(version: Long): ObjectView {
                    val objects = listOf("a" to member("a"), "b" to odd, "c" to member("c"))
                    val stored = objects.map { (name, text) -> ViewObject(name, version, Payload.of(text)) }
                    return ObjectView(Membership.KIND, ObjectVersion(version), stored.associateBy { it.name })
                }
                repeat(3) { membership.update(view(1)) }
                fleet.members.map { it.host.text }.toSet() shouldBe setOf("a", "c")
                logged.list.count { "name=b" in it.formattedMessage } shouldBe 1
                membership.update(view(2))
                logged.list.count { "name=b" in it.formattedMessage } shouldBe 2
                logged.list.all { it.formattedMessage.length < 1000 } shouldBe true
            }
        }

        // Guards against a first process that takes its own record of the first start for that of another one.
        listOf(
            "the answer to its record is lost" to FirstWrite.ANSWER_LOST to 1,
            "its record is lost and another process makes one" to FirstWrite.OVERTAKEN to 0,
        ).forEach { (case, newDeployments) ->
            test("a first process finds out whether it is the first when ${case.first}") {
                var found = 0
                val store = FirstWriteStore(MemoryObjectStore(), case.second)
                val membership = Membership(store, fleet(), clock::now) { found++ }
                val own = ViewObject("entry-1", 2, Payload.of(member("entry-1")))
                membership.update(ObjectView(Membership.KIND, ObjectVersion(1), emptyMap()))
                membership.update(ObjectView(Membership.KIND, ObjectVersion(2), mapOf(own.name to own)))
                val loop =
                    scope.launch {
                        membership.run(
                            Json.decodeFromString(Member.serializer(), member("entry-1")),
                        )
                    }
                eventually(10.seconds) { store.writes shouldBe 2 }
                delay(100.milliseconds)
                loop.cancelAndJoin()
                found shouldBe newDeployments
            }
        }
    })

private enum class FirstWrite { ANSWER_LOST, OVERTAKEN }

/** An object API that gives no answer to the first write. */
private class FirstWriteStore(
    private val store: ObjectStore,
    private val first: FirstWrite,
) : ObjectStore by store {
    @Volatile
    var writes = 0
        private set

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        if (writes++ > 0) return store.put(key, value, expected)
        store.put(key, if (first == FirstWrite.OVERTAKEN) Payload.of("entry-2 1") else value, expected)
        return Err(StoreFailure.OutcomeUnknown("lost"))
    }
}
