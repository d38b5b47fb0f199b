package tanagerlane.configuration

import kotlin.time.Duration

/** Whether a process may serve by the configuration that it holds. */
public sealed interface Freshness {
    /** Whether requests may be served. */
    public val canServe: Boolean

    /** No higher revision had been accepted [evidenceAge] ago. */
    public data class Fresh(
        val evidenceAge: Duration,
    ) : Freshness {
        override val canServe: Boolean get() = true
    }

    /** Most failure domains report that they can't reach the store, so nothing new can have been accepted. */
    public data object StoreOutage : Freshness {
        override val canServe: Boolean get() = true
    }

    /** A higher revision may be in force elsewhere. */
    public data object Isolated : Freshness {
        override val canServe: Boolean get() = false
    }

    /** No configuration has been received yet. */
    public data object Unconfigured : Freshness {
        override val canServe: Boolean get() = false
    }
}
