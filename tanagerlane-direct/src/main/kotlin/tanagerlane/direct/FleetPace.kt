package tanagerlane.direct

import kotlinx.serialization.json.JsonPrimitive
import org.slf4j.LoggerFactory
import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.pace.PaceRegime
import tanagerlane.pace.PacedProcess
import tanagerlane.pace.TargetPace
import tanagerlane.pace.TargetState
import tanagerlane.places.LoadBalancer
import tanagerlane.serving.ServiceSettings
import tanagerlane.settings.DirectSettings
import kotlin.time.Instant

/**
 * Keeps the requests of this process to targets that have just started, have recovered or are cold within its share of
 * what they bear, and shows what limits them.
 *
 * @param members registered processes, among which the requests are divided
 * @param serviceOf returns the settings of a service in force, or null if it has none
 */
internal class FleetPace(
    private val settings: DirectSettings,
    startedAt: Instant,
    private val members: () -> Collection<Member>,
    serviceOf: (ServiceName) -> ServiceSettings?,
    private val now: () -> Instant,
) {
    private val pace =
        TargetPace(PacedProcess(settings.host.name, isRunner(settings.role)), startedAt, settings.pacing, serviceOf)
    private var states: Map<TargetName, TargetState> = emptyMap()

    /** Selects the targets of this process, at the pace that they bear. */
    val loadBalancer = LoadBalancer(settings.host.name, settings.host.failureDomain, balancing(settings), pace)

    /** Selections in which a target was passed over because its declared rate was used up. */
    val forbidden: Long get() = loadBalancer.pace { pace.forbidden }

    /** Selections in which a target was passed over because its window was used up or it was held back. */
    val heldBack: Long get() = loadBalancer.pace { pace.heldBack }

    /** Returns the number of targets that [regime] limits. */
    fun count(regime: PaceRegime): Int = states.values.count { it.regime == regime }

    /** Takes over the registered processes and logs what has changed since the last call. */
    fun update() {
        val processes = members().map { PacedProcess(it.host, isRunner(it.role)) }
        val current =
            loadBalancer.pace {
                pace.configureProcesses(processes, now())
                pace.states(now())
            }
        val changed = current.filter { it.regime != (states[it.target]?.regime ?: PaceRegime.FULL) }
        changed.take(MAXIMUM_LINES).forEach {
            logger.info(
                "pace changed target={} from={} to={} window={} cold_ms={}",
                it.target,
                states[it.target]?.regime ?: PaceRegime.FULL,
                it.regime,
                it.window,
                it.coldTime.inWholeMilliseconds,
            )
        }
        if (changed.size > MAXIMUM_LINES) {
            logger.info("pace changed of {} more targets", changed.size - MAXIMUM_LINES)
        }
        current
            .filter { !it.isColdTimeTold && states[it.target]?.isColdTimeTold != false }
            .take(
                MAXIMUM_LINES,
            ).forEach {
                logger.warn(
                    "registration tells no cold time target={} cold_ms={}",
                    it.target,
                    it.coldTime.inWholeMilliseconds,
                )
            }
        states = current.associateBy { it.target }
    }

    /** Returns a member of a JSON object with the targets that are not at full pace, or an empty text if there are none. */
    fun status(): String {
        val limited = states.values.filter { it.regime != PaceRegime.FULL }
        if (limited.isEmpty()) {
            return ""
        }
        return limited.take(MAXIMUM_SHOWN).joinToString(",", ",\"paces\":[", "]") {
            """{"target":${quoted(it.target.text)},"limit":"${it.regime.name.lowercase()}","window":${it.window},""" +
                """"cold_ms":${it.coldTime.inWholeMilliseconds}}"""
        }
    }

    private fun quoted(text: String): String = JsonPrimitive(text).toString()

    private fun isRunner(role: HostRole): Boolean = role == HostRole.BATCH

    private companion object {
        /** Targets whose changes are logged one by one each time. */
        const val MAXIMUM_LINES = 8

        /** Targets that the status names. */
        const val MAXIMUM_SHOWN = 64
        val logger = LoggerFactory.getLogger(FleetPace::class.java)
    }
}
