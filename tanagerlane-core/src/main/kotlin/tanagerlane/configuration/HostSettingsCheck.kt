package tanagerlane.configuration

import tanagerlane.message.HostRole
import tanagerlane.settings.DirectSettings
import tanagerlane.settings.EntrySettings
import tanagerlane.settings.HostSettings
import tanagerlane.settings.SidecarSettings
import tanagerlane.settings.TraceExporter

private val PORTS = 1..65535
private val SLOTS = 1..1024
private val IP_ADDRESS = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*")
private val VALUE_BYTES = 65_536..16_777_216
private val BATCH_HEADROOM = 0..1024

/** Smallest budget for unfinished answers, in bytes: one event of the maximum size. */
private const val MINIMUM_ANSWER_BUDGET_BYTES = 1L shl 20
private val SOCKET_ADDRESS = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")
private val HTTP_URL = Regex("https?://[^/\\s]+.*")

/** Checks the values of an entry's settings. */
internal fun checkEntry(
    settings: EntrySettings,
    faults: FaultCollector,
) {
    checkHost(settings.host, faults)
    faults.inRange("callerPort", settings.callerPort, PORTS)
    faults.inRange("slots", settings.slots, SLOTS)
}

/** Checks the values of a sidecar's settings. */
internal fun checkSidecar(
    settings: SidecarSettings,
    faults: FaultCollector,
) {
    checkHost(settings.host, faults)
    faults.validName("target", settings.target.text)
    checkUrl("targetUrl", settings.targetUrl, faults)
}

/** Checks the values in the settings of a process that calls targets directly. */
internal fun checkDirect(
    settings: DirectSettings,
    faults: FaultCollector,
) {
    checkHost(settings.host, faults)
    checkSocketAddress("callerAddress", settings.callerAddress, faults)
    checkSocketAddress("readyAddress", settings.readyAddress, faults)
    if (settings.role == HostRole.ENTRY && settings.callerAddress == null) {
        faults.missingField("callerAddress")
    }
    if (settings.role == HostRole.SIDECAR) {
        faults.outOfRange("role", "\"sidecar\"", "\"entry\" or \"batch\"")
    }
    faults.inRange("maximumValueBytes", settings.maximumValueBytes, VALUE_BYTES)
    faults.inRange("batchHeadroom", settings.batchHeadroom, BATCH_HEADROOM)
    settings.answerBudgetBytes?.let { bytes ->
        if (bytes < MINIMUM_ANSWER_BUDGET_BYTES) {
            faults.outOfRange("answerBudgetBytes", "$bytes", "$MINIMUM_ANSWER_BUDGET_BYTES or more")
        }
    }
}

private fun checkSocketAddress(
    path: String,
    address: String?,
    faults: FaultCollector,
) {
    if (address != null && !SOCKET_ADDRESS.matches(address)) {
        faults.outOfRange(path, "\"$address\"", "an IP address and a port")
    }
}

private fun checkHost(
    host: HostSettings,
    faults: FaultCollector,
) {
    faults.validName("host.name", host.name.text)
    faults.validName("host.failureDomain", host.failureDomain.text)
    if (!IP_ADDRESS.matches(host.address)) {
        faults.outOfRange("host.address", "\"${host.address}\"", "an IP address")
    }
    faults.inRange("host.wirePort", host.wirePort, PORTS)
    faults.inRange("host.operatorPort", host.operatorPort, PORTS)
    checkUrl("host.objectApi", host.objectApi, faults)
    checkTraces(host, faults)
}

private fun checkTraces(
    host: HostSettings,
    faults: FaultCollector,
) {
    val endpoint = host.traceEndpoint
    if (endpoint != null) {
        checkUrl("host.traceEndpoint", endpoint, faults)
    } else if (host.traceExporter == TraceExporter.OTLP) {
        faults.missingField("host.traceEndpoint")
    }
}

private fun checkUrl(
    path: String,
    url: String,
    faults: FaultCollector,
) {
    if (!HTTP_URL.matches(url)) {
        faults.outOfRange(path, "\"$url\"", "an http or https URL")
    }
}
