package tanagerlane.views

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.ViewObject
import tanagerlane.message.ViewUpdate
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against objects that come and leave between two states of a view without being noticed. */
class ViewChangeTest :
    FunSpec({
        val view = ObjectView("targets", ObjectVersion(10), mapOf("a" to stored("a", 4)))

        data class ChangeCase(
            val name: String,
            val update: ViewUpdate,
            val expected: ViewChange,
            val view: ObjectView,
        )
        listOf(
            ChangeCase("an older update", update(8, 10, stored("b", 9)), ViewChange.NONE, view),
            ChangeCase(
                "an object that was created and deleted again",
                update(10, 13, stored("b", 11), deleted("b")),
                ViewChange(listOf(stored("b", 11)), emptySet(), isContinuous = true),
                view,
            ),
            ChangeCase(
                "two versions of an object",
                update(10, 13, stored("a", 11), stored("a", 12)),
                ViewChange(listOf(stored("a", 11), stored("a", 12)), emptySet(), isContinuous = true),
                view,
            ),
            ChangeCase(
                "changes that the view holds already",
                update(3, 13, stored("a", 4), stored("a", 12)),
                ViewChange(listOf(stored("a", 12)), emptySet(), isContinuous = true),
                view,
            ),
            ChangeCase("a deletion", update(10, 13, deleted("a")), ViewChange.NONE, view),
            ChangeCase(
                "a deletion of an object that was never held",
                update(10, 13, deleted("b")),
                ViewChange(emptyList(), setOf("b"), isContinuous = true),
                view,
            ),
            ChangeCase("a later copy", update(0, 13, stored("a", 4)), ViewChange.UNKNOWN, view),
            ChangeCase("the first copy", update(0, 13, stored("a", 4)), ViewChange.NONE, ObjectView("targets")),
        ).forEach { case ->
            test("what an update tells of the time before: ${case.name}") {
                case.view.updated(case.update)?.change shouldBe case.expected
            }
        }

        test("an update without changes tells nothing more of those before it") {
            val updated = view.updated(update(10, 13, stored("b", 11), deleted("b")))
            updated?.updated(update(12, 13))?.change shouldBe ViewChange.NONE
        }

        test("names of objects are known for a while after the view has held them") {
            val start = Instant.fromEpochSeconds(1_000)
            val names = RecentNames(lifetime = 5.seconds)
            names.add(setOf("a", "b"), start)
            names.add(setOf("b"), start + 4.seconds)
            names.containsAll(setOf("a", "b"), start + 5.seconds) shouldBe true
            names.containsAll(setOf("a"), start + 6.seconds) shouldBe false
            names.containsAll(setOf("b"), start + 6.seconds) shouldBe true
            names.containsAll(setOf("c"), start) shouldBe false
            names.containsAll(emptySet(), start) shouldBe true
        }
    }) {
    private companion object {
        fun stored(
            name: String,
            version: Long,
        ) = ViewObject(name, version, Payload.of("$name $version"))

        fun deleted(name: String) = ViewObject(name, 13, null)

        fun update(
            after: Long,
            at: Long,
            vararg objects: ViewObject,
        ) = ViewUpdate(HostName("entry-2"), "targets", after, at, objects.toList())
    }
}
