package tanagerlane.direct

import io.vertx.core.Vertx
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.message.JobReport
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.RequestId
import tanagerlane.resumption.OriginKeepers
import tanagerlane.routing.RendezvousHash
import tanagerlane.wire.WireCodec
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Five entries, of which the last [frozenCount] in the order of those that watch the targets stand still for a while. */
internal class FrozenEntryScene(
    vertx: Vertx,
    frozenCount: Int,
) {
    private val site =
        VersionsSite(
            vertx,
            List(TARGETS) { OLD_VERSION } + List(TARGETS) { NEW_VERSION },
            restartMilliseconds = 500,
            entryCount = ENTRIES,
            unregistered = setOf(NEW_VERSION),
        )
    private val frozen by lazy { ranked().takeLast(frozenCount) }
    private val others by lazy { site.entries - frozen.toSet() }

    suspend fun start(): Unit = site.start()

    /** Causes [pause] and begins streams at the new targets meanwhile; returns the callers once their time is over. */
    suspend fun takeUps(pause: EntryPause): List<StreamCaller> =
        coroutineScope {
            val still = if (pause.isRunnerFrozen) frozen + site.runner else frozen
            val lost = if (pause.isRunnerKilled) others + site.runner else others
            withContext(Dispatchers.IO) { still.forEach { it.freeze() } }
            val start = TimeSource.Monotonic.markNow()
            launch {
                delay(pause.time)
                withContext(Dispatchers.IO) { still.forEach { it.thaw() } }
            }
            launch {
                delay(pause.time - pause.lead)
                site.deployment.store.faults = pause.faults
                lost.forEach { it.kill() }
            }
            if (pause.areSocketsFull) {
                // Confirmations of the old targets come before what fills the sockets.
                delay(TIME_TO_FULL_SOCKETS)
                withContext(Dispatchers.IO) { frozen.forEach(::fillSocket) }
            }
            replaceTargets()
            delay(pause.time - pause.lead - STREAM_TIME - start.elapsedNow())
            callers().map { async { it.apply { receive() } } }.awaitAll()
        }

    suspend fun close(): Unit = site.close()

    private suspend fun replaceTargets() {
        for (target in site.targets) {
            site.deployment.register(target.name, target.port, "", target.version, target.version == OLD_VERSION)
        }
    }

    /** Fills the buffer of the socket for datagrams, as reports of a larger deployment do. */
    private fun fillSocket(entry: EntryProcess) {
        val report = WireCodec.encode(JobReport(HostName(others.first().name), emptyList()))
        DatagramSocket().use { socket ->
            repeat(REPORTS) {
                socket.send(
                    DatagramPacket(report, report.size, InetAddress.getLoopbackAddress(), entry.wirePort),
                )
            }
        }
    }

    /** Returns callers of the other entries whose streams are not reported to the entries that stand still. */
    private fun callers(): List<StreamCaller> {
        val takeUpPorts = List(TAKE_UPS) { frozen.first().port }
        return generateSequence(0) { it + 1 }
            .map { "caller-$it" to others[it % others.size] }
            .filter { (name, entry) -> frozen.none { HostName(it.name) in keepers(RequestId("$name-0"), entry) } }
            .take(STREAMS)
            .map { (name, entry) -> site.caller(name, listOf(entry.port) + takeUpPorts, TAKE_UP_TIME) }
            .toList()
    }

    private fun keepers(
        attempt: RequestId,
        entry: EntryProcess,
    ): List<HostName> {
        val members =
            site.entries.map { memberOf(it, HostRole.ENTRY) } + memberOf(site.runner, HostRole.BATCH)
        return OriginKeepers.told(attempt, members, HostName(entry.name))
    }

    private fun memberOf(
        process: EntryProcess,
        role: HostRole,
    ) = Member(
        HostName(process.name),
        role,
        Incarnation(1),
        FailureDomain(process.name),
        "127.0.0.1:${process.wirePort}",
    )

    /** Returns the entries in the order in which they are selected to watch the targets. */
    private fun ranked(): List<EntryProcess> {
        val names = RendezvousHash.ranked("targets", (site.entries + site.runner).map { it.name }) { it }
        return site.entries.sortedBy { names.indexOf(it.name) }
    }

    companion object {
        const val OLD_VERSION = "v1"
        const val NEW_VERSION = "v2"
        private const val ENTRIES = 5
        private const val TARGETS = 10
        private const val STREAMS = 30
        private const val TAKE_UPS = 50

        /** More than the default receive buffer holds. */
        private const val REPORTS = 500
        private val TIME_TO_FULL_SOCKETS = 1.seconds
        private val STREAM_TIME = 450.milliseconds
        private val TAKE_UP_TIME = 1.seconds
    }
}
