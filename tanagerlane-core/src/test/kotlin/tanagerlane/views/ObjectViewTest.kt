package tanagerlane.views

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.ViewObject
import tanagerlane.message.ViewUpdate
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration.Companion.seconds

class ObjectViewTest :
    FunSpec({
        val view = ObjectView("targets", ObjectVersion(10), mapOf("a" to stored("a", 4), "b" to stored("b", 9)))

        data class UpdateCase(
            val name: String,
            val update: ViewUpdate,
            val expected: ObjectView?,
        )
        listOf(
            UpdateCase("an older update changes nothing", update(after = 3, at = 9, stored("a", 7)), view),
            UpdateCase("a repeated update changes nothing", update(after = 9, at = 10, stored("a", 10)), view),
            UpdateCase("an update after a gap is rejected", update(after = 11, at = 12, stored("a", 12)), null),
            UpdateCase(
                "changes are merged into the view",
                update(after = 10, at = 12, stored("a", 12), stored("c", 11)),
                ObjectView(
                    "targets",
                    ObjectVersion(12),
                    mapOf("a" to stored("a", 12), "b" to stored("b", 9), "c" to stored("c", 11)),
                ),
            ),
            UpdateCase(
                "an object that is older than the known version is ignored",
                update(after = 8, at = 12, stored("b", 8)),
                view.copy(at = ObjectVersion(12)),
            ),
            UpdateCase(
                "a deleted object is removed",
                update(after = 10, at = 13, ViewObject("a", 13, null)),
                ObjectView("targets", ObjectVersion(13), mapOf("b" to stored("b", 9))),
            ),
            UpdateCase(
                "an object that was deleted and created again is kept",
                update(after = 10, at = 13, ViewObject("a", 13, null), stored("a", 12)),
                ObjectView("targets", ObjectVersion(13), mapOf("a" to stored("a", 12), "b" to stored("b", 9))),
            ),
            UpdateCase(
                "an object that was created and deleted again is removed",
                update(after = 10, at = 13, stored("c", 11), ViewObject("c", 13, null)),
                view.copy(at = ObjectVersion(13)),
            ),
            UpdateCase(
                "a complete copy replaces everything",
                update(after = 0, at = 20, stored("d", 18)),
                ObjectView("targets", ObjectVersion(20), mapOf("d" to stored("d", 18))),
            ),
            UpdateCase("an older copy changes nothing", update(after = 0, at = 9, stored("d", 8)), view),
        ).forEach { case ->
            test(case.name) { view.updated(case.update) shouldBe case.expected }
        }

        test("a complete copy completes an empty view and states its age") {
            val copy = view.snapshotUpdate(HostName("entry-1"), age = 3.seconds)
            ObjectView("targets").updated(copy) shouldBe view
            copy.age shouldBe 3.seconds
        }
    }) {
    private companion object {
        fun stored(
            name: String,
            version: Long,
        ) = ViewObject(name, version, Payload.of("$name-$version"))

        fun update(
            after: Long,
            at: Long,
            vararg objects: ViewObject,
        ) = ViewUpdate(HostName("entry-1"), "targets", after, at, objects.toList())
    }
}
