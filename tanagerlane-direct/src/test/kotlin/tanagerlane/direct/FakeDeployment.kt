package tanagerlane.direct

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import kotlinx.serialization.json.Json
import tanagerlane.configuration.SettingsReader
import tanagerlane.limits.Rate
import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestId
import tanagerlane.model.Revision
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import tanagerlane.places.DirectTarget
import tanagerlane.serving.CallerLimits
import tanagerlane.serving.JobTerms
import tanagerlane.serving.RouteKind
import tanagerlane.serving.ServiceSettings
import tanagerlane.serving.ServingConfiguration
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace
import tanagerlane.serving.WeightedService
import tanagerlane.standin.FreePorts
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A small deployment whose objects and bodies are plain text, for tests of processes that call targets directly.
 *
 * @param domains failure domains of targets by name; of all others it is `a`
 * @param furtherKeys workspaces by their keys, besides the one of `good-key`
 */
internal class FakeDeployment(
    private val vertx: Vertx,
    private val targets: List<FakeTarget>,
    private val rate: Rate? = null,
    private val domains: Map<String, String> = emptyMap(),
    private val coldRate: Double? = null,
    private val pacing: Boolean = false,
    private val limits: CallerLimits = CallerLimits(maximumBodyBytes = 100_000),
    furtherKeys: Map<String, String> = emptyMap(),
) {
    val store = MemoryObjectStore()
    private val service = ServiceName("models")
    private val defaultRoutes =
        listOf(
            route("/streams/", RouteKind.STREAM, attempts = 2, resumable = true),
            route("/once/", RouteKind.STREAM, attempts = 1, resumable = false),
            route("/calls/", RouteKind.SAFE, attempts = 2, resumable = false),
            route("/unsafe/", RouteKind.UNSAFE, attempts = 1, resumable = false),
            route("/jobs/", RouteKind.BATCH, attempts = 2, resumable = true),
        )
    private val workspace = WorkspaceName("crews")
    private val furtherWorkspaces = furtherKeys.mapValues { WorkspaceName(it.value) }

    /** Configurations by revision; the object of the configuration holds the revision. */
    private val configurations = ConcurrentHashMap(mapOf(1L to configuration(1, defaultRoutes)))

    /** Writes the configuration and registers the targets. */
    suspend fun prepare() {
        store.put(CONFIGURATION, Payload.of("1"), null)
        targets.forEach { register(it.name, it.port, version = it.version) }
    }

    /**
     * Registers a target that listens on [port], of [serviceName] or else of the service of all routes.
     *
     * Replaces an earlier registration under the same name.
     */
    suspend fun register(
        name: String,
        port: Int,
        serviceName: String = "",
        version: String = "",
        leaving: Boolean = false,
    ) {
        val key = ObjectKey("targets/$name")
        store.put(key, Payload.of("$port,$serviceName,$version,$leaving"), store.get(key).get()?.version)
    }

    /** Removes the registration of the target [name]. */
    suspend fun deregister(name: String) {
        store.get(ObjectKey("targets/$name")).get()?.let { store.delete(it.key, it.version) }
    }

    /** Puts a configuration in force that has the routes which [change] makes of those at the start. */
    suspend fun changeRoutes(
        keys: Set<String> = setOf("good-key"),
        change: (List<ServingRoute>) -> List<ServingRoute>,
    ): Unit = putInForce { configuration(it, change(defaultRoutes), keys) }

    /** Puts a configuration in force that has [newLimits] and the routes at the start. */
    suspend fun changeLimits(newLimits: CallerLimits): Unit =
        putInForce { configuration(it, defaultRoutes).copy(limits = newLimits) }

    private suspend fun putInForce(create: (revision: Long) -> ServingConfiguration) {
        val current = store.get(CONFIGURATION).getOrElse { error("$it") }
        val revision = current.value.toText().toLong() + 1
        configurations[revision] = create(revision)
        store.put(CONFIGURATION, Payload.of("$revision"), current.version).getOrElse { error("$it") }
    }

    /**
     * Starts a process of [role]; returns it with its port for callers.
     *
     * @param ownStore client of the object API that the process uses
     * @param ports ports for callers, for other processes and for operators
     * @param furtherSettings lines of the settings file, one for each setting
     * @param readyPort port for readiness checks, or null if they come to the port for callers
     * @param waiting whether requests that find no place wait
     * @param address loopback address at which the process listens
     * @param failureDomain failure domain of the process
     */
    suspend fun start(
        name: String,
        role: String,
        ownStore: ObjectStore = store,
        ports: List<Int> = freePorts(),
        dataFolder: Path? = null,
        vertx: Vertx = this.vertx,
        stopTime: Duration = 8.seconds,
        readyPort: Int? = null,
        furtherSettings: String = "",
        waiting: Boolean = false,
        address: String = "127.0.0.1",
        failureDomain: String = "a",
    ): StartedDaemon {
        val settings =
            SettingsReader
                .direct()
                .read(
                    "test",
                    """
                    role = "$role"
                    callerAddress = "$address:${ports[0]}"
                    ${readyPort?.let { "readyAddress = '127.0.0.1:$it'" }.orEmpty()}
                    stopTime = "$stopTime"
                    ${furtherSettings.replace("\n", "\n                    ")}
                    pacing = $pacing
                    waiting = $waiting
                    [host]
                    name = "$name"
                    failureDomain = "$failureDomain"
                    address = "$address"
                    wirePort = ${ports[1]}
                    operatorPort = ${ports[2]}
                    objectApi = "http://127.0.0.1:1"
                    ${dataFolder?.let { "dataFolder = '$it'" }.orEmpty()}
                    """.trimIndent(),
                ).getOrElse { error("$it") }
        val daemon = DirectDaemon(settings, { deployment(ownStore) }, vertx)
        daemon.start().getOrElse { error("$it") }
        return StartedDaemon(daemon, ports[0])
    }

    /** Stores the registration of an earlier instance of the entry [name]; returns the ports of that instance. */
    suspend fun registerEarlierInstance(name: String): List<Int> {
        val ports = freePorts()
        val wirePort = ports[1]
        val member =
            Member(HostName(name), HostRole.ENTRY, Incarnation(1), FailureDomain("a"), address = "127.0.0.1:$wirePort")
        val value = Payload.of(Json.encodeToString(Member.serializer(), member))
        store.put(ObjectKey("${Membership.KIND}/$name"), value, null)
        return ports
    }

    /** Returns free ports for callers, for other processes and for operators. */
    fun freePorts(): List<Int> = List(3) { FreePorts.next() }

    private fun deployment(ownStore: ObjectStore) =
        Deployment(
            store = ownStore,
            headers =
                HeaderNames(
                    requestId = "Attempt-Id",
                    deadline = "Deadline-Ms",
                    key = "Credential",
                    workspace = "Tenant",
                    expectedTarget = "Expect-Instance",
                    notRun = "Not-Run",
                    resumeAfter = "Last-Event-Id",
                    resumedAttempt = "Resumes",
                    wait = "Wait-Ms",
                    promptParts = "Prompt-Prefix",
                ),
            configuration = ViewSource("config") { Ok(configurations.getValue(it.value?.toText()?.toLong() ?: 1)) },
            targets = ViewSource("targets") { Ok(targetOf(it.name, it.value?.toText().orEmpty())) },
            removals = ViewSource("removals") { Ok(HostRemoval(HostName(it.name), isDone = false)) },
            evacuations = ViewSource("evacuations") { Ok(DomainEvacuation(FailureDomain(it.name))) },
            jobs = PlainTextJobs.FORMAT,
            sharedParts = { header -> header.split(',').dropLast(1).map { PromptPart(it.substringBefore(':')) } },
            classify = ::classify,
            reportDrained = { true },
        )

    private fun targetOf(
        name: String,
        registration: String,
    ): DirectTarget {
        val fields = registration.split(',')
        return DirectTarget(
            name = TargetName(name),
            service = fields.getOrNull(1)?.ifEmpty { null }?.let(::ServiceName) ?: service,
            address = "127.0.0.1:${fields[0]}",
            failureDomain = FailureDomain(domains[name] ?: "a"),
            places = 4,
            leaving = fields.getOrNull(3).toBoolean(),
            coldTime = null,
            version = SoftwareVersion(fields.getOrNull(2).orEmpty()),
        )
    }

    private fun classify(
        method: String,
        path: String,
        query: Map<String, String>,
    ): CallerCall {
        val job = JobId(path.substringAfterLast('/'))
        return when {
            path == "/ready" -> CallerCall.Readiness
            path.startsWith("/results/") -> CallerCall.ReadResults(job, query["after"]?.toInt() ?: 0)
            path.startsWith("/items/") -> CallerCall.ReadItem(job, RequestId(query["id"].orEmpty()))
            path.startsWith("/ends/") -> CallerCall.EndJob(job)
            else -> CallerCall.Forward
        }.also { check(method.isNotEmpty()) }
    }

    private fun configuration(
        revision: Long,
        routes: List<ServingRoute>,
        keys: Set<String> = setOf("good-key"),
    ) = ServingConfiguration(
        revision = Revision(revision),
        routes = routes,
        workspaces =
            (furtherWorkspaces.values + workspace).associateWith { ServingWorkspace(it, rate, priority = null) },
        keys = furtherWorkspaces + keys.associateWith { workspace },
        limits = limits,
        services = mapOf(service to ServiceSettings(service, coldRate?.let { 60.seconds }, coldRate)),
    )

    /** Returns a route of the service of all targets. */
    fun route(
        prefix: String,
        kind: RouteKind,
        attempts: Int = 2,
        resumable: Boolean = false,
        host: String = "localhost",
    ) = ServingRoute(
        name = "$host$prefix",
        host = host,
        pathPrefix = prefix,
        kind = kind,
        services = listOf(WeightedService(service, 1)),
        timeout = 5.seconds,
        objective = 300.milliseconds,
        longestPause = 250.milliseconds,
        attempts = attempts,
        resumable = resumable,
        job =
            if (kind == RouteKind.BATCH) {
                JobTerms(due = 18.seconds, retention = 60.seconds, maximumTokens = 100)
            } else {
                null
            },
    )

    private companion object {
        val CONFIGURATION = ObjectKey("config/main")
    }
}
