package tanagerlane.configuration

import kotlin.time.Duration

/** Whether the configuration of a process is current enough to serve requests. */
public sealed interface Freshness {
    /** Whether requests may be served. */
    public val canServe: Boolean

    /** As of [evidenceAge] ago, no higher revision had been accepted. */
    public data class Fresh(
        val evidenceAge: Duration,
    ) : Freshness {
        override val canServe: Boolean get() = true
    }

    /** Most failure domains report that they can't reach the store, so no higher revision can have been accepted. */
    public data object StoreOutage : Freshness {
        override val canServe: Boolean get() = true
    }

    /** The process has no recent evidence; a higher revision may be in force elsewhere. */
    public data object Isolated : Freshness {
        override val canServe: Boolean get() = false
    }

    /** No configuration has been received yet. */
    public data object Unconfigured : Freshness {
        override val canServe: Boolean get() = false
    }
}
