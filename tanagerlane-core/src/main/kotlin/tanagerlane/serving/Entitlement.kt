package tanagerlane.serving

import tanagerlane.model.RefusalReason

/** Decision on whether a request may be served, and for which workspace. */
public sealed interface Entitlement {
    /**
     * The request may be served on [route].
     *
     * @property workspace workspace to which the request is charged, or null on a route that needs no key
     */
    public data class Granted(
        val route: ServingRoute,
        val workspace: ServingWorkspace?,
    ) : Entitlement

    /** The request may not be served. */
    public data class Denied(
        val reason: RefusalReason,
    ) : Entitlement

    public companion object {
        /**
         * Authorizes a request for [path] at [host] with the API key [key].
         *
         * An unknown route or key may have just been added. It is reported as such only if the configuration is known
         * to be current, and as a stale configuration otherwise.
         */
        public fun of(
            configuration: ServingConfiguration?,
            isCurrent: Boolean,
            host: String,
            path: String,
            key: String?,
        ): Entitlement {
            if (configuration == null) {
                return Denied(RefusalReason.CONFIGURATION_STALE)
            }
            val route = configuration.routeFor(host, path) ?: return denied(RefusalReason.NOT_FOUND, isCurrent)
            if (route.open || !configuration.needsKeys) {
                return Granted(route, workspace = null)
            }
            val workspace =
                configuration.workspaceOf(key)?.let { configuration.workspaces[it] }
                    ?: return denied(RefusalReason.NO_KEY, isCurrent)
            return Granted(route, workspace)
        }

        private fun denied(
            reason: RefusalReason,
            isCurrent: Boolean,
        ): Denied = Denied(if (isCurrent) reason else RefusalReason.CONFIGURATION_STALE)
    }
}
