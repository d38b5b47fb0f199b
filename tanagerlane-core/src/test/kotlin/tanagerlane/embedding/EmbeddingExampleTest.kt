package tanagerlane.embedding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import tanagerlane.attempts.AttemptAction
import tanagerlane.attempts.AttemptEvent
import tanagerlane.attempts.AttemptPolicy
import tanagerlane.attempts.AttemptTracker
import tanagerlane.attempts.TrackedRequest
import tanagerlane.limits.Admission
import tanagerlane.limits.FleetLimiter
import tanagerlane.limits.HeldSlot
import tanagerlane.limits.Limit
import tanagerlane.limits.LimiterSettings
import tanagerlane.limits.Rate
import tanagerlane.message.Accepted
import tanagerlane.message.AnswerEnd
import tanagerlane.message.AnswerFragment
import tanagerlane.message.AnswerHead
import tanagerlane.message.NeverSeen
import tanagerlane.message.Resolve
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.AttemptId
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Examples of a program that embeds the limiter and the attempt tracker without the daemons. */
class EmbeddingExampleTest :
    FunSpec({
        test("a limiter that holds all slots admits the burst, then refuses, then admits at the rate") {
            val limiter = singleHostLimiter()
            val permits =
                List(
                    4,
                ) { limiter.admit(PRESS, NOW) }.map { it.shouldBeInstanceOf<Admission.Admitted>().permit }
            limiter.admit(PRESS, NOW).shouldBeInstanceOf<Admission.Refused>()
            permits.forEach { limiter.settle(it, NOW + 10.milliseconds) }
            limiter.admit(PRESS, NOW + 1.seconds).shouldBeInstanceOf<Admission.Admitted>()
        }

        test("a workspace without a configured rate is refused") {
            singleHostLimiter()
                .admit(
                    WorkspaceLimit(WorkspaceName("unknown")),
                    NOW,
                ).shouldBeInstanceOf<Admission.Refused>()
        }

        test("a tracker delivers an answer once, even if a fragment arrives twice") {
            val tracker = offeredTracker()
            val first = AttemptId(REQUEST, 1)
            val fragment = AnswerFragment(first, offset = 0, bytes = Payload.of("done"))
            val messages = listOf(Accepted(first, INCARNATION), AnswerHead(first, 200, emptyList()), fragment, fragment)
            val actions =
                (
                    messages +
                        AnswerEnd(
                            first,
                            length = 4,
                        )
                ).flatMap { tracker.handle(AttemptEvent.Received(it), NOW) }
            actions.filterNot { it is AttemptAction.SetTimer } shouldBe
                listOf(
                    AttemptAction.DeliverHead(200, emptyList()),
                    AttemptAction.DeliverBytes(Payload.of("done")),
                    AttemptAction.Complete,
                )
        }

        test("a tracker resolves the outcome of an unanswered offer before it tries another target") {
            val tracker = offeredTracker()
            val late = NOW + AttemptPolicy().replyTimeout
            tracker.handle(AttemptEvent.TimerFired, late).first() shouldBe AttemptAction.Reconnect(TARGET, NOW)
            tracker.handle(AttemptEvent.ConnectionOpened(TARGET, INCARNATION), late).first() shouldBe
                AttemptAction.SendResolve(TARGET, Resolve(AttemptId(REQUEST, 1), received = 0))
            tracker.handle(AttemptEvent.Received(NeverSeen(AttemptId(REQUEST, 1), INCARNATION)), late).last() shouldBe
                AttemptAction.PickTarget(tried = setOf(TARGET), attemptNumber = 2)
        }
    })

private val NOW = Instant.fromEpochSeconds(1_000)
private val PRESS = WorkspaceLimit(WorkspaceName("press"))
private val REQUEST = RequestId("request")
private val TARGET = TargetName("engine-1")
private val INCARNATION = Incarnation(7)

private fun singleHostLimiter(): FleetLimiter {
    val host = HostName("entry-1")
    val limiter = FleetLimiter(LimiterSettings(host, Incarnation(1), slotCount = 2))
    val started = NOW - 10.seconds
    limiter.configure(listOf(Limit(PRESS, Rate(perSecond = 2.0, burst = 4))), started)
    limiter.changePeers(hosts = setOf(host), holders = setOf(host))
    limiter.changeSlots(List(2) { HeldSlot(it, countedFrom = started, validUntil = NOW + 60.seconds) }, started)
    return limiter
}

/** Returns a tracker whose first attempt was offered to [TARGET]. */
private fun offeredTracker(): AttemptTracker {
    val tracker = AttemptTracker(TrackedRequest(REQUEST, idempotent = false, deadline = NOW + 30.seconds))
    tracker.begin().last() shouldBe AttemptAction.PickTarget(tried = emptySet(), attemptNumber = 1)
    tracker.handle(AttemptEvent.TargetPicked(TARGET, INCARNATION), NOW).first() shouldBe
        AttemptAction.SendOffer(TARGET, AttemptId(REQUEST, 1), INCARNATION, remaining = 30.seconds)
    return tracker
}
