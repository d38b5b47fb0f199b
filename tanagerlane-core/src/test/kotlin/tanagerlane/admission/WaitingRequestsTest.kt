package tanagerlane.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import tanagerlane.message.WaitingCount
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val service = ServiceName("models")
private val start = Instant.fromEpochSeconds(1_000_000)

/** Time for which requests have been running; they are expected to end 100 ms after the start. */
private val RUNNING_FOR = 400.milliseconds

private fun request(
    number: Long,
    workspace: String = "w",
    priority: Int = 1,
    weight: Double = 1.0,
    objective: Duration = 300.milliseconds,
    bytes: Int = 10,
    mayRefuse: Boolean = true,
    mayBeRetry: Boolean = false,
) = WaitingRequest(
    number = number,
    service = service,
    route = "r",
    workspace = WorkspaceName(workspace),
    weight = weight,
    priority = priority,
    arrivedAt = start,
    objective = objective,
    deadline = start + 5.seconds,
    bytes = bytes,
    mayRefuse = mayRefuse,
    mayBeRetry = mayBeRetry,
)

/** Returns a queue in a process that has [running] requests at targets, in which [requests] wait. */
private fun queueOf(
    vararg requests: WaitingRequest,
    running: Int = 10,
    settings: WaitingSettings = WaitingSettings(),
): WaitingRequests {
    val queue = WaitingRequests(settings, Random(1))
    repeat(running) { queue.sent(request(1000L + it), start - RUNNING_FOR) }
    requests.forEach {
        queue.arrived(it, start)
        queue.add(it, start)
    }
    return queue
}

private fun WaitingRequests.takeAll(): List<Long> =
    generateSequence { next(service, { 100 }, start)?.also { sent(it, start) }?.number }.toList()

class WaitingRequestsTest :
    FunSpec({
        data class Order(
            val name: String,
            val requests: List<WaitingRequest>,
            val expected: List<Long>,
        )
        listOf(
            Order("by priority", listOf(request(1, priority = 2), request(2, priority = 0)), listOf(2, 1)),
            Order(
                "within a workspace by the time at which they are due",
                listOf(request(1, objective = 900.milliseconds), request(2)),
                listOf(2, 1),
            ),
            Order(
                "in turn between workspaces, however many one sends",
                listOf(request(1, "a"), request(2, "a"), request(3, "a"), request(4, "b")),
                listOf(1, 4, 2, 3),
            ),
            Order(
                "by weight between workspaces",
                (1L..6L).map { request(it, if (it <= 3) "a" else "b", weight = if (it <= 3) 3.0 else 1.0) },
                listOf(1, 4, 2, 3, 5, 6),
            ),
        ).forEach { case ->
            test("requests are sent ${case.name}") {
                queueOf(*case.requests.toTypedArray()).takeAll() shouldBe case.expected
            }
        }

        data class Refusal(
            val name: String,
            val request: WaitingRequest,
            val at: Duration,
            val running: Int,
            val expected: WaitingRefusal?,
        )
        listOf(
            Refusal("a place is expected in time", request(1), 60.milliseconds, 200, null),
            Refusal("no place is expected in time", request(1), 60.milliseconds, 0, WaitingRefusal.NOT_IN_TIME),
            Refusal("it may have run", request(1, mayRefuse = false), 60.milliseconds, 0, null),
            Refusal("it may have run and is late", request(1, mayRefuse = false), 4900.milliseconds, 0, null),
            Refusal("it may be a retry", request(1, mayBeRetry = true), 60.milliseconds, 0, null),
            Refusal("a retry is late", request(1, mayBeRetry = true), 1.6.seconds, 0, WaitingRefusal.HELD_TOO_LONG),
        ).forEach { case ->
            test("a refusal is prompt, or comes before half of the time has passed: ${case.name}") {
                val queue = queueOf(case.request, running = case.running)
                val refused = queue.expired(start + case.at)
                refused.firstOrNull()?.reason shouldBe case.expected
                queue.size shouldBe if (case.expected == null) 1 else 0
                refused.forEach { it.retryAfter shouldBeLessThanOrEqualTo (5.seconds - case.at) / 3 }
            }
        }

        test("a request that need not be sent any more is removed, and the next one is sent") {
            val queue = queueOf(request(1), request(2))
            queue.remove(request(1))
            queue.takeAll() shouldBe listOf(2L)
            queue.report() shouldBe emptyList()
        }

        test("the queue is bounded in number and in bytes") {
            val settings = WaitingSettings(maximumRequests = 2, maximumBytes = 100)
            listOf(listOf(request(1), request(2)), listOf(request(1, bytes = 95))).forEach { waiting ->
                val queue = queueOf(*waiting.toTypedArray(), settings = settings)
                val refused = queue.add(request(3), start).shouldBeInstanceOf<WaitingDecision.Refused>()
                refused.reason shouldBe WaitingRefusal.QUEUE_FULL
                waiting.forEach(queue::remove)
                queue.add(request(3), start) shouldBe WaitingDecision.Waits
            }
        }

        test("free places that all processes see are shared between those in which requests wait") {
            val taken =
                (1..100).sumOf { seed ->
                    val queue = WaitingRequests(random = Random(seed))
                    queue.received(HostName("other"), listOf(WaitingCount(service, 9)), start)
                    var free = 10
                    (1L..10L).count { number ->
                        queue.mayPass(request(number), { free }, start).also { isPassed ->
                            if (isPassed) queue.sent(request(number), start)
                            if (isPassed) free--
                        }
                    }
                }
            // One of ten waiting requests is here, so one of ten places is taken, and rarely a second one.
            (taken in 80..150) shouldBe true
        }

        test("retries of requests that are refused together are spread over the time that callers wait") {
            val queue = queueOf(running = 10)
            val times =
                (1L..30L).map { number ->
                    queue.arrived(request(number), start)
                    queue.add(request(number), start)
                    request(number)
                }
            val refused = times.mapNotNull { queue.decide(it, start) as? WaitingDecision.Refused }
            val steps = refused.groupingBy { it.retryAfter.inWholeMilliseconds / 50 }.eachCount()
            steps.values.max() shouldBeLessThanOrEqualTo 2
        }
    })
