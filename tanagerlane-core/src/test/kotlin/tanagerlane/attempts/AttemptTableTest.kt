package tanagerlane.attempts

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.Accepted
import tanagerlane.message.AnswerEnd
import tanagerlane.message.AnswerFragment
import tanagerlane.message.AnswerHead
import tanagerlane.message.AttemptFailed
import tanagerlane.message.Cancel
import tanagerlane.message.ChatWork
import tanagerlane.message.NeverSeen
import tanagerlane.message.NotRun
import tanagerlane.message.Offer
import tanagerlane.message.Resolve
import tanagerlane.model.AttemptId
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private class OfferCase(
    val name: String,
    val offer: Offer = OFFER,
    val source: OfferSource = SOURCE,
    val limits: AttemptLimits = AttemptLimits(shards = 1),
    val before: (AttemptTable) -> Unit = {},
    val expected: OfferDecision,
)

class AttemptTableTest :
    FunSpec({
        OFFER_CASES.forEach { case ->
            test("an offer ${case.name}") {
                val table = AttemptTable(INCARNATION, case.limits).also(case.before)
                table.offer(case.offer, case.source, NOW) shouldBe case.expected
            }
        }

        test("a resolved attempt continues after the received bytes, on the newest connection of each host") {
            val table = AttemptTable(INCARNATION)
            table.offer(OFFER, SOURCE, NOW)
            table.start(ATTEMPT, NOW) shouldBe StartDecision.Call
            table.head(HEAD, NOW) shouldBe Delivery(setOf(SOURCE.session), listOf(HEAD))
            table.append(ATTEMPT, Payload.of("abc"), NOW)
            table.append(ATTEMPT, Payload.of("def"), NOW)
            val rest = AnswerFragment(ATTEMPT, 3, Payload.of("def"))
            table.resolve(Resolve(ATTEMPT, received = 3), NEWER, NOW) shouldBe listOf(ACCEPTED, HEAD, rest)
            table.offer(OFFER, SOURCE, NOW)
            table.append(ATTEMPT, Payload.of("ghi"), NOW)?.sessions shouldBe setOf(NEWER.session)
            table.resolve(Resolve(ATTEMPT, received = 9), OTHER_HOST, NOW) shouldBe listOf(ACCEPTED, HEAD)
            table.append(ATTEMPT, Payload.of("jkl"), NOW)?.sessions shouldBe setOf(NEWER.session, OTHER_HOST.session)
            table.detach(NEWER.session, NOW)
            table.end(ATTEMPT, NOW) shouldBe Delivery(setOf(OTHER_HOST.session), listOf(AnswerEnd(ATTEMPT, 12)))
        }

        test("a target is called at most once, and not after cancellation or the deadline") {
            val table = AttemptTable(INCARNATION)
            table.offer(OFFER, SOURCE, NOW)
            val expired = AttemptFailed(ATTEMPT, RunState.NOT_RUN, RefusalReason.DEADLINE_EXCEEDED)
            table.start(ATTEMPT, NOW + 10.seconds) shouldBe
                StartDecision.Skip(Delivery(setOf(SOURCE.session), listOf(expired)))
            table.start(ATTEMPT, NOW) shouldBe StartDecision.Skip(null)
            val other = ATTEMPT.copy(number = 2)
            table.offer(OFFER.copy(attempt = other), SOURCE, NOW)
            table.cancel(Cancel(other), NOW) shouldBe CancelDecision.NOT_STARTED
            table.start(other, NOW) shouldBe StartDecision.Skip(null)
        }

        test("an attempt that did not run frees its capacity and is still reported as not run") {
            val table = AttemptTable(INCARNATION, AttemptLimits(shards = 1, maximumAttempts = 1))
            table.offer(OFFER, SOURCE, NOW)
            table.fail(ATTEMPT, RunState.NOT_RUN, RefusalReason.OVERLOADED, NOW)
            table.size shouldBe 0
            table.resolve(Resolve(ATTEMPT, received = 0), NEWER, NOW) shouldBe
                listOf(AttemptFailed(ATTEMPT, RunState.NOT_RUN, RefusalReason.OVERLOADED))
            table.offer(OFFER, SOURCE, NOW) shouldBe refused(RefusalReason.OVERLOADED)
            val other = ATTEMPT.copy(number = 2)
            table.offer(OFFER.copy(attempt = other), SOURCE, NOW) shouldBe
                OfferDecision.Run(listOf(Accepted(other, INCARNATION)))
        }

        test("an attempt is not refused because of others that have ended, which stay known until their deadlines") {
            val limits = AttemptLimits(shards = 1, maximumAttempts = 1, maximumEndedAttempts = 1)
            val table = AttemptTable(INCARNATION, limits)

            fun offer(number: Int) = table.offer(OFFER.copy(attempt = ATTEMPT.copy(number = number)), SOURCE, NOW)

            fun run(number: Int) = OfferDecision.Run(listOf(Accepted(ATTEMPT.copy(number = number), INCARNATION)))
            table.offer(OFFER, SOURCE, NOW)
            table.start(ATTEMPT, NOW)
            table.append(ATTEMPT, Payload.of("abc"), NOW)
            table.end(ATTEMPT, NOW)
            offer(2) shouldBe run(2)
            table.bufferedBytes shouldBe 0
            val unknown = AttemptFailed(ATTEMPT, RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)
            table.resolve(Resolve(ATTEMPT, received = 0), NEWER, NOW) shouldBe listOf(unknown)
            table.offer(OFFER, SOURCE, NOW) shouldBe OfferDecision.Joined(listOf(unknown))
            table.start(ATTEMPT, NOW) shouldBe StartDecision.Skip(null)
            table.end(ATTEMPT.copy(number = 2), NOW)
            offer(3) shouldBe OfferDecision.Refused(NotRun(ATTEMPT.copy(number = 3), RefusalReason.OVERLOADED))
            table.expire(NOW + 60.seconds)
            offer(4) shouldBe run(4)
        }

        test("an attempt cancelled while it runs ends with an unknown outcome") {
            val table = AttemptTable(INCARNATION)
            table.offer(OFFER, SOURCE, NOW)
            table.start(ATTEMPT, NOW)
            table.cancel(Cancel(ATTEMPT), NOW) shouldBe CancelDecision.STOP
            table.append(ATTEMPT, Payload.of("late"), NOW) shouldBe null
            table.resolve(Resolve(ATTEMPT, received = 0), NEWER, NOW) shouldBe
                listOf(AttemptFailed(ATTEMPT, RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN))
            table.expire(NOW + 60.seconds)
            table.size shouldBe 0
        }

        test("concurrent offers and starts of one attempt yield one run and one call of the target") {
            val table = AttemptTable(INCARNATION)
            val attempts = List(200) { AttemptId(RequestId("request-$it"), 1) }
            val threads = Executors.newFixedThreadPool(4)
            val tasks =
                List(4) {
                    Callable {
                        attempts.map { attempt ->
                            val offered = table.offer(OFFER.copy(attempt = attempt), SOURCE, NOW) is OfferDecision.Run
                            offered to (table.start(attempt, NOW) == StartDecision.Call)
                        }
                    }
                }
            val outcomes = threads.invokeAll(tasks).flatMap { it.get() }
            threads.shutdown()
            outcomes.count { it.first } shouldBe 200
            outcomes.count { it.second } shouldBe 200
        }

        test("an answer over the byte limit is discarded and reported as unknown") {
            val table = AttemptTable(INCARNATION, AttemptLimits(shards = 1, maximumBytes = 4))
            table.offer(OFFER, SOURCE, NOW)
            table.append(ATTEMPT, Payload.of("abc"), NOW)
            table.append(ATTEMPT, Payload.of("def"), NOW)
            table.bufferedBytes shouldBe 0
            table.resolve(Resolve(ATTEMPT, received = 3), NEWER, NOW) shouldBe
                listOf(AttemptFailed(ATTEMPT, RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN))
        }

        test("an ended attempt is retained until its deadline has passed, and a running one always") {
            val limits = AttemptLimits(answerRetention = 1.seconds, deadlineMargin = 2.seconds)
            val table = AttemptTable(INCARNATION, limits)
            table.offer(OFFER, SOURCE, NOW)
            table.detach(SOURCE.session, NOW)
            table.expire(NOW + 60.seconds) shouldBe listOf(ATTEMPT)
            table.end(ATTEMPT, NOW + 60.seconds)
            table.expire(NOW + 62.seconds)
            table.size shouldBe 0
            table.offer(OFFER, SOURCE.copy(answeredProbeSentAt = NOW + 62.seconds), NOW + 62.seconds)
            table.end(ATTEMPT, NOW + 62.seconds)
            table.expire(NOW + 73.seconds)
            table.size shouldBe 1
            table.expire(NOW + 74.seconds)
            table.size shouldBe 0
        }

        test("an overfull filter forgets no tombstone within its retention") {
            val filter = TombstoneFilter(bits = 1 shl 10, retention = 60.seconds)
            val random = Random(1)
            val added = List(5000) { random.nextLong() to NOW + (it * 10).milliseconds }
            added.forEach { (hash, at) -> filter.add(hash, at) }
            val end = NOW + 50.seconds
            added.count { (hash, at) -> end - at < 60.seconds && !filter.contains(hash, end) } shouldBe 0
            filter.contains(added.last().first, end + 120.seconds) shouldBe false
        }
    })

private val NOW = Instant.fromEpochSeconds(1_000_000)
private val INCARNATION = Incarnation(5)
private val ATTEMPT = AttemptId(RequestId("request"), 1)
private val SOURCE = OfferSource(HostName("entry-0"), SessionId(1), answeredProbeSentAt = NOW)
private val NEWER = SOURCE.copy(session = SessionId(2))
private val OTHER_HOST = OfferSource(HostName("entry-1"), SessionId(3), answeredProbeSentAt = NOW)
private val ACCEPTED = Accepted(ATTEMPT, INCARNATION)
private val HEAD = AnswerHead(ATTEMPT, 200, emptyList())
private val WORK = ChatWork(ModelName("model"), Payload.of("{}"), streamed = false, maximumTokens = 8)
private val OFFER =
    Offer(
        attempt = ATTEMPT,
        workspace = WorkspaceName("press"),
        requestClass = RequestClass.ONLINE,
        idempotent = false,
        remaining = 10.seconds,
        work = WORK,
        expectedIncarnation = INCARNATION,
    )

private fun refused(reason: RefusalReason) = OfferDecision.Refused(NotRun(ATTEMPT, reason))

private val OFFER_CASES =
    listOf(
        OfferCase("of a new attempt runs", expected = OfferDecision.Run(listOf(ACCEPTED))),
        OfferCase(
            "that is repeated joins the run",
            before = {
                it.offer(OFFER, SOURCE, NOW)
                it.append(ATTEMPT, Payload.of("abc"), NOW)
            },
            expected = OfferDecision.Joined(listOf(ACCEPTED, AnswerFragment(ATTEMPT, 0, Payload.of("abc")))),
        ),
        OfferCase(
            "of a known attempt with different content is a conflict",
            before = { it.offer(OFFER.copy(work = WORK.copy(body = Payload.of("[]"))), SOURCE, NOW) },
            expected = OfferDecision.Conflict,
        ),
        OfferCase(
            "without time left is refused",
            offer = OFFER.copy(remaining = Duration.ZERO),
            expected = refused(RefusalReason.DEADLINE_EXCEEDED),
        ),
        OfferCase(
            "on a connection without a recent answered probe is refused",
            source = SOURCE.copy(answeredProbeSentAt = NOW - 31.seconds),
            expected = refused(RefusalReason.NO_TARGET),
        ),
        OfferCase(
            "for another incarnation is answered with NeverSeen",
            offer = OFFER.copy(expectedIncarnation = Incarnation(4)),
            expected = OfferDecision.WrongIncarnation(NeverSeen(ATTEMPT, INCARNATION)),
        ),
        OfferCase(
            "whose attempt was resolved before it arrived is refused",
            before = { it.resolve(Resolve(ATTEMPT, received = 0), NEWER, NOW) },
            expected = refused(RefusalReason.OVERLOADED),
        ),
        OfferCase(
            "whose attempt was cancelled before it arrived is refused",
            before = { it.cancel(Cancel(ATTEMPT), NOW) },
            expected = refused(RefusalReason.OVERLOADED),
        ),
        OfferCase(
            "over the limit of attempts is refused",
            limits = AttemptLimits(shards = 1, maximumAttempts = 1),
            before = { it.offer(OFFER.copy(attempt = ATTEMPT.copy(number = 2)), SOURCE, NOW) },
            expected = refused(RefusalReason.OVERLOADED),
        ),
        OfferCase(
            "that was refused is refused again when repeated",
            before = {
                it.offer(OFFER.copy(remaining = Duration.ZERO), SOURCE, NOW)
            },
            expected = refused(RefusalReason.OVERLOADED),
        ),
    )
