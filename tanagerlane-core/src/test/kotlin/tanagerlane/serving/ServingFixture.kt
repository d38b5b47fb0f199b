package tanagerlane.serving

import tanagerlane.limits.Rate
import tanagerlane.model.Revision
import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val crews = ServingWorkspace(WorkspaceName("crews"), Rate(10.0, 20), priority = null)

internal fun route(
    name: String = "findings",
    prefix: String = "/findings/",
    kind: RouteKind = RouteKind.STREAM,
    attempts: Int = 2,
    open: Boolean = false,
    resumable: Boolean = true,
): ServingRoute =
    ServingRoute(
        name = name,
        host = "rail.example",
        pathPrefix = prefix,
        kind = kind,
        services = listOf(WeightedService(ServiceName("finding-models"), 1)),
        timeout = 5.seconds,
        objective = 300.milliseconds,
        attempts = attempts,
        open = open,
        resumable = resumable,
    )

internal fun configuration(vararg routes: ServingRoute): ServingConfiguration =
    ServingConfiguration(
        revision = Revision(7),
        routes = routes.toList(),
        workspaces = mapOf(crews.name to crews),
        keys = mapOf("good-key" to crews.name),
        limits = CallerLimits(maximumBodyBytes = 1000),
    )
