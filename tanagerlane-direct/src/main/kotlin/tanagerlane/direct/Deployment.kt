package tanagerlane.direct

import tanagerlane.model.HostName
import tanagerlane.places.DirectTarget
import tanagerlane.serving.ServingConfiguration
import tanagerlane.store.ObjectStore

/**
 * What an adapter provides: the object API and everything that is spoken outside.
 *
 * @property classify reads the method, path and query of a caller's request
 * @property reportRemoved tells the operator that a host is empty; returns whether that was accepted
 */
public data class Deployment(
    val store: ObjectStore,
    val headers: HeaderNames,
    val configuration: ViewSource<ServingConfiguration>,
    val targets: ViewSource<DirectTarget>,
    val removals: ViewSource<HostRemoval>,
    val jobs: JobBodyFormat,
    val classify: (method: String, path: String, query: Map<String, String>) -> CallerCall,
    val reportRemoved: suspend (HostName) -> Boolean,
)
