package tanagerlane.resumption

import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One incarnation of a target. */
internal class SimulatedTarget(
    val listed: DirectTarget,
) {
    val runs = LinkedHashSet<SimulatedRun>()
    var isUp = true
    var isLeaving = false
    val version: SoftwareVersion get() = listed.version
}

/**
 * Targets of one service, which crash and are replaced by others with another version.
 *
 * @param onLost called with the runs that were at a target when it went away
 */
internal class SimulatedTargets(
    private val fleet: SimulatedFleet,
    private val random: Random,
    private val areAddressesKept: Boolean,
    private val onLost: (List<SimulatedRun>) -> Unit,
) {
    private val byAddress = LinkedHashMap<String, SimulatedTarget>()
    private var versions = 1
    private var names = 0
    private var ports = 0

    /** Lists the first targets, all of one version. */
    fun first(): List<DirectTarget> = List(TARGETS) { add(nextName(), version(versions)).listed }

    fun at(address: String): SimulatedTarget? = byAddress[address]?.takeIf { it.isUp }

    fun running(version: SoftwareVersion): Int =
        byAddress.values.count { it.isUp && !it.isLeaving && it.version == version }

    /** Crashes one target, which starts again with the same version. */
    fun crash() {
        val target = byAddress.values.filter { it.isUp && !it.isLeaving }.randomOrNull(random) ?: return
        target.isUp = false
        loseRuns(target)
        fleet.after(CRASHED_TIME) { target.isUp = true }
    }

    /** Replaces some or all targets by others of a new version or the one before. */
    fun release() {
        if (random.nextInt(ROLLBACK_DIVISOR) > 0) versions++
        val version = version(if (random.nextInt(ROLLBACK_DIVISOR) == 0) maxOf(1, versions - 1) else versions)
        val replaced = byAddress.values.filter { !it.isLeaving && it.version != version }
        val count = if (random.nextBoolean()) replaced.size else replaced.size / 2
        replaced.shuffled(random).take(count).forEach {
            fleet.after(RELEASE_TIME * random.nextDouble()) { replace(it, version) }
        }
    }

    /** Adds a target of a new version, which leaves soon. */
    fun tryVersion() {
        val tried = add(nextName(), version(++versions))
        publish()
        fleet.after(TRIAL_TIME * (random.nextDouble() + HALF)) { leave(tried) { remove(tried) } }
    }

    private fun replace(
        target: SimulatedTarget,
        version: SoftwareVersion,
    ) {
        if (target.isLeaving) {
            return
        }
        val isInPlace = random.nextBoolean()
        if (!isInPlace) {
            add(nextName(), version)
        }
        leave(target) {
            remove(target)
            if (isInPlace) {
                fleet.after(REPLACED_TIME) {
                    add(target.listed.name, version)
                    publish()
                }
            }
        }
    }

    private fun leave(
        target: SimulatedTarget,
        gone: () -> Unit,
    ) {
        target.isLeaving = true
        publish()
        fleet.after(LEAVING_TIME * random.nextDouble(), gone)
    }

    private fun remove(target: SimulatedTarget) {
        byAddress.remove(target.listed.address)
        target.isUp = false
        loseRuns(target)
        publish()
    }

    private fun loseRuns(target: SimulatedTarget) {
        val lost = target.runs.toList()
        target.runs.clear()
        onLost(lost)
    }

    private fun publish(): Unit =
        fleet.publish(targets = byAddress.values.map { it.listed.copy(leaving = it.isLeaving) })

    private fun add(
        name: TargetName,
        version: SoftwareVersion,
    ): SimulatedTarget {
        val port = if (areAddressesKept) FIRST_PORT else FIRST_PORT + ports++
        val address = "${name.text}:$port"
        val listed = DirectTarget(name, SERVICE, address, FailureDomain("d"), places = 8, version = version)
        return SimulatedTarget(listed).also { byAddress[listed.address] = it }
    }

    private fun nextName() = TargetName("t${names++}")

    private fun version(number: Int) = SoftwareVersion("v$number")

    internal companion object {
        val SERVICE = ServiceName("models")
        private const val TARGETS = 8
        private const val ROLLBACK_DIVISOR = 4
        private const val FIRST_PORT = 8000
        private const val HALF = 0.5
        private val CRASHED_TIME = 1.seconds
        private val RELEASE_TIME: Duration = 4.seconds
        private val TRIAL_TIME = 2.seconds
        private val LEAVING_TIME = 1500.milliseconds

        /** Longer than the delay of views, so that no process takes the new incarnation for the earlier one. */
        private val REPLACED_TIME = 2.seconds
    }
}
