package tanagerlane.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import tanagerlane.model.TargetName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against evidence about one cause that hides another one. */
class SeveralCausesTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val deadly = RequestDigest("deadly")

        fun quarantine() = PromptQuarantine(HostName("a"), Incarnation(1))

        fun PromptQuarantine.lose(
            target: String,
            at: Int,
            sentAt: Int = at - 10,
            stage: LossStage = LossStage.BEGUN,
            parts: List<PromptPart> = emptyList(),
            request: RequestDigest = deadly,
        ): Unit =
            lost(
                TargetName(target),
                RequestTraits(parts, request),
                stage,
                start + sentAt.milliseconds,
                start + at.milliseconds,
            )

        test("evidence about a suspected request outlasts the loss of many other requests") {
            val quarantine = quarantine()
            quarantine.lose("t1", at = 0)
            quarantine.lose("t2", at = 57)
            repeat(
                300,
            ) { quarantine.lose("domain-${it % 50}", at = 100, sentAt = 0, request = RequestDigest("sound$it")) }
            quarantine.isSuspected(deadly) shouldBe true
            quarantine.lose("t3", at = 141)
            quarantine.findQuarantined(deadly, start + 1.seconds)?.crashes shouldBe 3
        }

        test("a begun request without shared parts does not hide a part that waited there") {
            val quarantine = quarantine()
            val part = PromptPart("part")
            listOf(0, 400, 800).forEach { at ->
                val waiting = RequestDigest("waiting$at")
                quarantine.lose("t$at", at, stage = LossStage.WAITING, parts = listOf(part), request = waiting)
                quarantine.lose("t$at", at, request = RequestDigest("begun$at"))
            }
            quarantine.findQuarantined(listOf(part), start + 1.seconds)?.crashes shouldBe 3
        }

        test("crashes of one target that is back soon count once for each time that the request was sent again") {
            val quarantine = quarantine()
            listOf(0, 700, 1400).forEach { quarantine.lose("t1", at = it, sentAt = it - 100) }
            quarantine.findQuarantined(deadly, start + 2.seconds)?.crashes shouldBe 3
        }

        test("a request that is sent to a target just after its crash was not lost in a further one") {
            val quarantine = quarantine()
            listOf(0, 30, 60).forEach { quarantine.lose("t1", at = it, sentAt = it - 10) }
            quarantine.isSuspected(deadly) shouldBe false
        }
    })
