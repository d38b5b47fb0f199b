package tanagerlane.serving

/** Who answers a call that has the form of a call about a job; routes may have the same paths. */
public enum class JobCallRecipient {
    /** This system, which keeps the jobs. */
    SYSTEM,

    /** The service of the route that matches the path, as for any other request. */
    ROUTE,

    /** [SYSTEM] if the job is stored, and otherwise [ROUTE]. */
    SYSTEM_IF_STORED,
    ;

    public companion object {
        /**
         * Decides about a call for [path] at [host].
         *
         * A job stays in reach when its route is changed or removed. Conversely, a host that accepts no jobs may use all
         * paths for its own requests.
         *
         * @param jobHost host name of the route that accepted the job, or null if no such job is known here
         */
        public fun of(
            configuration: ServingConfiguration,
            host: String,
            path: String,
            jobHost: String?,
        ): JobCallRecipient {
            val acceptsJobs = configuration.batchRoutesOf(host).isNotEmpty()
            val route = configuration.routeFor(host, path)
            val isPathOfService = route != null && route.kind != RouteKind.BATCH
            return when {
                jobHost != null -> if (jobHost == host || acceptsJobs || !isPathOfService) SYSTEM else ROUTE
                isPathOfService && !acceptsJobs -> ROUTE
                acceptsJobs && !isPathOfService -> SYSTEM
                else -> SYSTEM_IF_STORED
            }
        }
    }
}
