package tanagerlane.serving

import tanagerlane.model.RefusalReason

/** Whether a request may be served, and on whose behalf. */
public sealed interface Entitlement {
    /**
     * The request may be served on [route].
     *
     * @property workspace whom the request is charged to, or null on a route open to all
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
         * Decides on a request for [path] at [host] with [key].
         *
         * An unknown route or key is denied for good only where the configuration is known to be current, since it
         * may have been added a moment ago.
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
                key?.let { configuration.keys[it] }?.let { configuration.workspaces[it] }
                    ?: return denied(RefusalReason.NO_KEY, isCurrent)
            return Granted(route, workspace)
        }

        private fun denied(
            reason: RefusalReason,
            isCurrent: Boolean,
        ): Denied = Denied(if (isCurrent) reason else RefusalReason.CONFIGURATION_STALE)
    }
}
