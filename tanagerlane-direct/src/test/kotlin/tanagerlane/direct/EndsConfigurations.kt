package tanagerlane.direct

import tanagerlane.direct.EndsRow.Event
import tanagerlane.model.ServiceName
import tanagerlane.serving.CallerLimits
import tanagerlane.serving.WeightedService
import kotlin.time.Duration.Companion.milliseconds

private val LOWERED_LIMITS =
    CallerLimits(maximumBodyBytes = 2, maximumHeaderBytes = 20, idleTimeout = 100.milliseconds)
private val SHORT_TIMEOUT = 300.milliseconds

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

        Event.SERVICE_MOVED -> {
            val services = listOf(WeightedService(ServiceName("others"), 1))
            changeRoutes { routes -> routes.map { it.copy(services = services) } }
        }

        Event.WEIGHT_ZERO -> {
            changeRoutes { routes ->
                routes.map { it.copy(services = it.services.map { own -> own.copy(weight = 0) }) }
            }
        }

        Event.TIMEOUT_SHORTENED -> {
            changeRoutes { routes -> routes.map { it.copy(timeout = SHORT_TIMEOUT) } }
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
