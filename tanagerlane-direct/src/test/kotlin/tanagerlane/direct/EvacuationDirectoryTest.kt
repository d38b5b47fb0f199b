package tanagerlane.direct

import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.FailureDomain
import tanagerlane.store.ObjectVersion
import tanagerlane.views.ObjectView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EvacuationDirectoryTest :
    FunSpec({
        // Guards against a process that was paused and sends requests by what it knew before.
        data class PauseCase(
            val name: String,
            val pause: Duration,
            val updateAfter: Duration? = null,
            val askedAfter: Duration,
            val maySend: Boolean,
        )
        listOf(
            PauseCase("a short pause", 3.seconds, askedAfter = Duration.ZERO, maySend = true),
            PauseCase("a long pause", 20.seconds, askedAfter = Duration.ZERO, maySend = false),
            PauseCase("an update that waited since the pause", 20.seconds, 10.milliseconds, 20.milliseconds, false),
            PauseCase("an update after the pause", 20.seconds, 150.milliseconds, 160.milliseconds, true),
            PauseCase("no update for the bound", 20.seconds, askedAfter = 5100.milliseconds, maySend = true),
        ).forEach { case ->
            test("requests may be sent after ${case.name}: ${case.maySend}") {
                var time = Instant.fromEpochSeconds(0)
                val source = ViewSource("evacuations") { Ok(DomainEvacuation(FailureDomain(it.name))) }
                val directory = EvacuationDirectory(source, 5.seconds, emptySet()) { time }
                val view = ObjectView("evacuations", ObjectVersion(1))
                directory.update(view, Duration.ZERO)
                directory.maySend shouldBe true
                time += case.pause
                directory.permitted(emptyList())
                val resumedAt = time
                case.updateAfter?.let {
                    time = resumedAt + it
                    directory.update(view, Duration.ZERO)
                }
                while (time < resumedAt + case.askedAfter) {
                    time = minOf(time + 200.milliseconds, resumedAt + case.askedAfter)
                    directory.permitted(emptyList())
                }
                directory.maySend shouldBe case.maySend
            }
        }
    })
