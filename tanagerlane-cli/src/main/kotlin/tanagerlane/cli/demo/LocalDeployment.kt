package tanagerlane.cli.demo

import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import tanagerlane.entry.EntryDaemon
import tanagerlane.inventory.Inventory
import tanagerlane.inventory.Target
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.runtime.HttpObjectStore
import tanagerlane.settings.EntrySettings
import tanagerlane.settings.HostSettings
import tanagerlane.settings.SidecarSettings
import tanagerlane.sidecar.SidecarDaemon
import tanagerlane.standin.engine.EngineServer
import tanagerlane.standin.engine.EngineServerSettings
import tanagerlane.standin.engine.EngineSettings
import tanagerlane.standin.service.ServiceServer
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.ObjectStoreServer
import kotlin.time.Duration.Companion.milliseconds

/**
 * A whole deployment in one process: entries, sidecars, and stand-ins for the platform and the targets.
 *
 * @param inventory decides the targets and failure domains
 * @param entryCount number of entries, spread over the failure domains
 */
public class LocalDeployment(
    private val inventory: Inventory,
    private val entryCount: Int,
    private val vertx: Vertx,
) {
    /** The object API's stand-in, for its faults and counts. */
    public val memoryStore: MemoryObjectStore = MemoryObjectStore()

    private val storeServer = ObjectStoreServer(memoryStore, vertx)
    private val mutableEngines = ArrayList<EngineServer>()
    private val mutableServices = ArrayList<ServiceServer>()
    private val mutableEntries = ArrayList<EntryDaemon>()
    private val mutableSidecars = ArrayList<SidecarDaemon>()

    /** The engines' stand-ins, in the order of the inventory. */
    public val engines: List<EngineServer> get() = mutableEngines

    /** The plain services' stand-ins, in the order of the inventory. */
    public val services: List<ServiceServer> get() = mutableServices

    /** The entries. */
    public val entries: List<EntryDaemon> get() = mutableEntries

    /** The sidecars, in the order of the inventory. */
    public val sidecars: List<SidecarDaemon> get() = mutableSidecars

    /** Base URL of the object API's stand-in, once started. */
    public var objectApi: String = ""
        private set

    /** Starts everything; entries listen for callers at [callerPort] and the ports after it, or at any where it is 0. */
    public suspend fun start(callerPort: Int) {
        objectApi = "http://$LOOPBACK:${storeServer.start(port = 0)}"
        inventory.targets.forEach { startTarget(it) }
        repeat(entryCount) { startEntry(it, if (callerPort == 0) 0 else callerPort + it) }
    }

    /** Waits until every entry has a configuration and is connected to every sidecar. */
    public suspend fun awaitReady() {
        while (entries.any { !it.isReady || it.connectedTargets < inventory.targets.size }) {
            delay(READY_INTERVAL)
        }
    }

    /** Base URL for callers at entry [index]. */
    public fun baseUrl(index: Int): String = "http://$LOOPBACK:${entries[index].callerPort}"

    /** Stops everything at once. */
    public suspend fun stop() {
        entries.forEach { it.stop() }
        sidecars.forEach { it.stop() }
        engines.forEach { it.stop() }
        services.forEach { it.stop() }
        storeServer.stop()
        vertx.close().coAwait()
    }

    private suspend fun startTarget(target: Target) {
        val port = if (target.services.isEmpty()) startEngine(target) else startService()
        val settings =
            SidecarSettings(
                host = hostSettings("sidecar-${target.name}", target.failureDomain),
                target = target.name,
                targetUrl = "http://$LOOPBACK:$port",
            )
        val sidecar = SidecarDaemon(settings, HttpObjectStore(objectApi, vertx), vertx)
        sidecar.start().getOrElse { error("sidecar of ${target.name} did not start: $it") }
        mutableSidecars += sidecar
    }

    private suspend fun startEngine(target: Target): Int {
        val settings =
            EngineServerSettings(
                engine = EngineSettings(maximumSequences = target.window),
                models = target.models.map { it.text },
                checksFencing = target.checksFencing,
            )
        val engine = EngineServer(vertx, settings)
        mutableEngines += engine
        return engine.start(port = 0)
    }

    private suspend fun startService(): Int {
        val service = ServiceServer(vertx)
        mutableServices += service
        return service.start(port = 0)
    }

    private suspend fun startEntry(
        index: Int,
        callerPort: Int,
    ) {
        val domains = inventory.sites.flatMap { it.failureDomains }
        val host = hostSettings("entry-${index + 1}", domains[index % domains.size])
        val entry = EntryDaemon(EntrySettings(host, callerPort), HttpObjectStore(objectApi, vertx), vertx)
        entry.start().getOrElse { error("entry ${index + 1} did not start: $it") }
        mutableEntries += entry
    }

    private fun hostSettings(
        name: String,
        failureDomain: FailureDomain,
    ): HostSettings =
        HostSettings(
            name = HostName(name),
            failureDomain = failureDomain,
            address = LOOPBACK,
            wirePort = 0,
            operatorPort = 0,
            objectApi = objectApi,
        )

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        val READY_INTERVAL = 20.milliseconds
    }
}
