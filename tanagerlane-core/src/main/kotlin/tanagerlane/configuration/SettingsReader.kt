package tanagerlane.configuration

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import tanagerlane.inventory.Inventory
import tanagerlane.settings.DirectSettings
import tanagerlane.settings.EntrySettings
import tanagerlane.settings.SidecarSettings

/** Reads TOML documents of one type and reports all faults of a document at once. */
public class SettingsReader<T> private constructor(
    private val serializer: KSerializer<T>,
    private val checkSemantics: (T, FaultCollector) -> Unit,
) {
    /** Reads [text]; [file] names the document in faults. Fails with all faults found, in the order of the checks. */
    public fun read(
        file: String,
        text: String,
    ): Result<T, List<SettingsFault>> {
        val node =
            try {
                TomlMapper().readTree(text)
            } catch (failure: JsonProcessingException) {
                return Err(listOf(malformed(file, failure)))
            }
        return read(file, node)
    }

    private fun read(
        file: String,
        node: JsonNode,
    ): Result<T, List<SettingsFault>> {
        val structure = FaultCollector(file)
        val element = StructureCheck(structure).check(node, serializer.descriptor, path = "")
        val value = Json.decodeFromJsonElement(serializer, element)
        val semantics = FaultCollector(file)
        checkSemantics(value, semantics)
        val faults = structure.faults + semantics.faults.filterNot { isCoveredBy(it, structure.faults) }
        return if (faults.isEmpty()) Ok(value) else Err(faults)
    }

    public companion object {
        /** Returns a reader of inventories. */
        public fun inventory(): SettingsReader<Inventory> = SettingsReader(Inventory.serializer(), ::checkInventory)

        /** Returns a reader of the settings of entries. */
        public fun entry(): SettingsReader<EntrySettings> = SettingsReader(EntrySettings.serializer(), ::checkEntry)

        /** Returns a reader of the settings of processes that call targets directly. */
        public fun direct(): SettingsReader<DirectSettings> = SettingsReader(DirectSettings.serializer(), ::checkDirect)

        /** Returns a reader of the settings of sidecars. */
        public fun sidecar(): SettingsReader<SidecarSettings> =
            SettingsReader(SidecarSettings.serializer(), ::checkSidecar)
    }
}

private fun malformed(
    file: String,
    failure: JsonProcessingException,
): SettingsFault {
    val line = failure.location?.lineNr?.takeIf { it > 0 }
    val detail = failure.originalMessage.lineSequence().first()
    return SettingsFault.Malformed(SettingsLocation(file, path = "", line = line), detail)
}

/** Whether [fault] concerns a value for which [earlier] already contains a fault, or a value inside it. */
private fun isCoveredBy(
    fault: SettingsFault,
    earlier: List<SettingsFault>,
): Boolean =
    earlier.any {
        val path = it.location.path
        val own = fault.location.path
        own == path || own.startsWith("$path.") || own.startsWith("$path[") || path.isEmpty()
    }
