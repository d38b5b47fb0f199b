package tanagerlane.serving

import tanagerlane.model.Revision
import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName

/**
 * The configuration that operators have set, at one revision.
 *
 * @property keys workspaces by API key
 * @property services settings of services, by name; a service may have none
 */
public data class ServingConfiguration(
    val revision: Revision,
    val routes: List<ServingRoute>,
    val workspaces: Map<WorkspaceName, ServingWorkspace>,
    val keys: Map<String, WorkspaceName>,
    val limits: CallerLimits,
    val services: Map<ServiceName, ServiceSettings> = emptyMap(),
) {
    private val routesByHost: Map<String, List<ServingRoute>> =
        routes.groupBy { it.host }.mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** Whether requests need an API key on routes that are not open. */
    public val needsKeys: Boolean get() = workspaces.isNotEmpty()

    /** Returns the workspace that holds the API key [key], or null if the key is missing or unknown. */
    public fun workspaceOf(key: String?): WorkspaceName? = key?.let { keys[it] }

    /** Returns the route of [host] whose prefix is the longest match for [path], or null if none matches. */
    public fun routeFor(
        host: String,
        path: String,
    ): ServingRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the batch routes of [host]. */
    public fun batchRoutesOf(host: String): List<ServingRoute> =
        routesByHost[host].orEmpty().filter { it.kind == RouteKind.BATCH }

    override fun toString(): String =
        "ServingConfiguration(revision=$revision, routes=${routes.size}, workspaces=${workspaces.size})"
}
