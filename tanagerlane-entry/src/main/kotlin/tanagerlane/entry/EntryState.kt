package tanagerlane.entry

import tanagerlane.inventory.Configuration
import tanagerlane.inventory.Rules
import tanagerlane.inventory.Service
import tanagerlane.keys.KeyRing
import tanagerlane.keys.PresentedKey
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import tanagerlane.routing.SidecarSubset

/** A configuration, indexed for looking up keys, models and services. */
internal class EntryState(
    val configuration: Configuration,
) {
    private val keys = KeyRing.of(configuration)
    val chatParser: ChatRequestParser = ChatRequestParser(configuration.inventory.models)
    val rules: Rules = configuration.inventory.rules

    private val services = configuration.inventory.services.associateBy { it.name }

    /** Workspace of the key in the value of the `authorization` header, or null if there is no valid key. */
    fun workspaceOf(authorization: String?): WorkspaceName? {
        val key = authorization?.takeIf { it.startsWith(KEY_SCHEME) } ?: return null
        return keys.find(PresentedKey(key.removePrefix(KEY_SCHEME)))?.workspace
    }

    /** The service named [name], or null. */
    fun service(name: ServiceName): Service? = services[name]

    /** Targets to whose sidecars [host] connects: at most [SIDECARS_PER_SERVICE] for each model and service. */
    fun sidecarsUsedBy(host: HostName): Set<TargetName> {
        val inventory = configuration.inventory
        val forModels = inventory.models.map { model -> inventory.targets.filter { model.name in it.models } }
        val forServices = inventory.services.map { service -> inventory.targets.filter { service.name in it.services } }
        return (forModels + forServices).flatMapTo(HashSet()) { SidecarSubset.of(host, it, SIDECARS_PER_SERVICE) }
    }

    private companion object {
        const val KEY_SCHEME = "Bearer "
        const val SIDECARS_PER_SERVICE = 24
    }
}
