package tanagerlane.entry

import tanagerlane.inventory.Configuration
import tanagerlane.inventory.Rules
import tanagerlane.inventory.Service
import tanagerlane.model.ModelName
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName

/** One configuration, indexed for serving callers. */
internal class EntryState(
    val configuration: Configuration,
) {
    val keys: KeyLookup = KeyLookup(configuration.keys)
    val chatParser: ChatRequestParser = ChatRequestParser(configuration.inventory.models)
    val rules: Rules = configuration.inventory.rules

    private val services = configuration.inventory.services.associateBy { it.name }
    private val serving = configuration.inventory.targets.filterNot { it.leaving }

    /** The service called [name], or null. */
    fun service(name: ServiceName): Service? = services[name]

    /** Targets that serve [model] and are not leaving. */
    fun targetsOf(model: ModelName): List<TargetName> = serving.filter { model in it.models }.map { it.name }

    /** Targets that offer [service] and are not leaving. */
    fun targetsOf(service: ServiceName): List<TargetName> = serving.filter { service in it.services }.map { it.name }
}
