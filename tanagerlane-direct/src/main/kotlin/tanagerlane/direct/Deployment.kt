package tanagerlane.direct

import tanagerlane.model.HostName
import tanagerlane.model.PromptPart
import tanagerlane.places.DirectTarget
import tanagerlane.serving.ServingConfiguration
import tanagerlane.store.ObjectStore

/**
 * What an adapter to a platform provides: the object API, the decoders of its objects, and the HTTP interface to
 * callers and targets.
 *
 * @property store client of the object API
 * @property headers names of the HTTP headers in requests and answers
 * @property configuration objects from which the serving configuration is decoded
 * @property targets registrations of targets
 * @property removals orders to remove a host
 * @property evacuations orders to send nothing to the targets of a failure domain; read only where the settings ask
 *   for it
 * @property jobs formats of the bodies of job requests and job results
 * @property sharedParts returns the parts that the prompt of a request may share with others, from the header that
 *   lists its parts
 * @property classify determines what a caller requests from the method, path and query of the request
 * @property reportDrained reports to the operator that a host is drained; returns whether the report was accepted
 */
public data class Deployment(
    val store: ObjectStore,
    val headers: HeaderNames,
    val configuration: ViewSource<ServingConfiguration>,
    val targets: ViewSource<DirectTarget>,
    val removals: ViewSource<HostRemoval>,
    val evacuations: ViewSource<DomainEvacuation>,
    val jobs: JobBodyFormat,
    val sharedParts: (header: String) -> List<PromptPart>,
    val classify: (method: String, path: String, query: Map<String, String>) -> CallerCall,
    val reportDrained: suspend (HostName) -> Boolean,
)
