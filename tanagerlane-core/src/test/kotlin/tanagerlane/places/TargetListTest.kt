package tanagerlane.places

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetListTest :
    FunSpec({
        fun TargetList.namesAt(after: Duration): Set<String> = usable(start + after).mapTo(HashSet()) { it.name.text }

        test("a target that is no longer listed is not used") {
            val list = TargetList().updated(listOf(target("x"), target("y")), start)
            list.updated(listOf(target("y")), start + 1.seconds).namesAt(1.seconds) shouldBe setOf("y")
        }

        test("targets that lapsed during an outage of the object API are kept for the grace period") {
            val before = TargetList().updated(listOf(target("x"), target("y")), start)
            val recovered = before.updated(emptyList(), start + 5.seconds)
            recovered.namesAt(5.seconds) shouldBe setOf("x", "y")
            recovered.namesAt(6999.milliseconds) shouldBe setOf("x", "y")
            recovered.namesAt(7.seconds) shouldBe emptySet()
        }

        test("a target that lapses soon after the outage is kept too, and one that registers again is listed") {
            val recovered =
                TargetList().updated(listOf(target("x"), target("y")), start).updated(
                    listOf(target("x")),
                    start + 5.seconds,
                )
            val lapsed = recovered.updated(emptyList(), start + 6.seconds)
            lapsed.namesAt(6.seconds) shouldBe setOf("x", "y")
            val listed = lapsed.updated(listOf(target("y")), start + 6500.milliseconds)
            listed.listed.keys shouldBe setOf(TargetName("y"))
            listed.namesAt(8.seconds) shouldBe setOf("y")
        }

        test("a target that was leaving when it lapsed is not kept") {
            val before = TargetList().updated(listOf(target("x", leaving = true)), start)
            before.updated(emptyList(), start + 5.seconds).namesAt(5.seconds) shouldBe emptySet()
        }

        test("a listing that is confirmed without changes does not count as an outage") {
            val confirmed = TargetList().updated(listOf(target("x")), start).confirmed(start + 1.seconds)
            confirmed.updated(emptyList(), start + 2.seconds).namesAt(2.seconds) shouldBe emptySet()
        }
    })
