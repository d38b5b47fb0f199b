package tanagerlane.routing

import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName

/** A request for which a target is selected. */
public sealed interface RouteQuery {
    /** Targets that were already tried; they are selected again only if there are no others. */
    public val tried: Set<TargetName>

    /** A chat completion by [model]; prompts with the same prefix prefer the same target. */
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
