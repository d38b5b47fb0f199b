package tanagerlane.direct

import tanagerlane.direct.EndsRow.Event
import tanagerlane.serving.CallerLimits
import kotlin.time.Duration.Companion.milliseconds

private val LOWERED_LIMITS =
    CallerLimits(maximumBodyBytes = 2, maximumHeaderBytes = 20, idleTimeout = 100.milliseconds)

/** Puts the configuration of the event of [row] in force, if it has one. */
internal suspend fun FakeDeployment.configureFor(row: EndsRow) {
    val path = row.kind.path.substringBefore('?')
    when (row.event) {
        Event.ROUTE_REMOVED, Event.ROUTE_REMOVED_AND_STOP -> {
            changeRoutes { routes -> routes.filterNot { path.startsWith(it.pathPrefix) } }
        }

        Event.ROUTE_MOVED -> {
            changeRoutes { routes -> routes.map { it.copy(host = "elsewhere") } }
        }

        Event.KEY_REMOVED -> {
            changeRoutes(keys = setOf("other-key")) { it }
        }

        Event.LIMITS_LOWERED -> {
            changeLimits(LOWERED_LIMITS)
        }

        else -> {}
    }
}
