package tanagerlane.routing

import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName

/** For what a target is sought. */
public sealed interface RouteQuery {
    /** Targets to avoid where there are others. */
    public val tried: Set<TargetName>

    /** A run of [model]; [prompt] leads requests with the same beginning to the same target. */
    public data class Chat(
        val model: ModelName,
        val prompt: Payload,
        override val tried: Set<TargetName> = emptySet(),
    ) : RouteQuery

    /** A call of [service]. */
    public data class Call(
        val service: ServiceName,
        override val tried: Set<TargetName> = emptySet(),
    ) : RouteQuery
}
