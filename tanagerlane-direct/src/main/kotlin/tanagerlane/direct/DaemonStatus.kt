package tanagerlane.direct

import kotlinx.serialization.json.JsonPrimitive
import tanagerlane.model.FailureDomain
import tanagerlane.settings.DirectSettings
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * State of a process for its operators.
 *
 * @param waiting returns the number of requests that wait for a place
 * @param further returns further fields, each after a comma
 */
internal class DaemonStatus(
    private val settings: DirectSettings,
    private val revision: () -> Long,
    private val targets: TargetDirectory,
    private val fleet: Fleet,
    private val isLeaving: () -> Boolean,
    private val waiting: () -> Int,
    private val further: () -> String,
    private val evacuations: () -> Map<FailureDomain, Duration>?,
) {
    /** Returns the state as a JSON object; evacuations, with their age in seconds, only where they are watched. */
    fun text(): String =
        """{"role":"${settings.role.name.lowercase()}","host":"${settings.host.name}",""" +
            """"revision":${revision()},"targets":${targets.size},"waiting":${waiting()},""" +
            """"reachable":${fleet.reachable.size},"leaving":${isLeaving()}${further()}${evacuationsField()}}"""

    private fun evacuationsField(): String {
        val ages = evacuations() ?: return ""
        val entries =
            ages
                .map { (domain, age) ->
                    "${quoted(domain.text)}:${age.toLong(DurationUnit.SECONDS)}"
                }.sorted()
        return entries.joinToString(",", prefix = ""","evacuations":{""", postfix = "}")
    }

    /** The names of evacuations come from the object API, which may allow any character in them. */
    private fun quoted(name: String): String = JsonPrimitive(name).toString()
}
