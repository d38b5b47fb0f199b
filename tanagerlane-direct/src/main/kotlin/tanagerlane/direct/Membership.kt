package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.channels.Channel
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.slf4j.LoggerFactory
import tanagerlane.concurrency.receiveWithin
import tanagerlane.jobs.putSettled
import tanagerlane.membership.Member
import tanagerlane.message.ViewObject
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.views.ObjectView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Registers this process in the object API and removes the registrations of processes that are lost.
 *
 * @param onNewDeployment called if this is the first process of the deployment that has ever started
 */
internal class Membership(
    private val store: ObjectStore,
    private val fleet: Fleet,
    private val now: () -> Instant,
    private val onNewDeployment: () -> Unit = {},
) {
    private var ownMember: Member? = null
    private var view = ObjectView(KIND)
    private val decodedMembers = DecodedObjects(ViewSource(KIND, ::memberOf))
    private var registered: List<Member> = emptyList()
    private val unreachableSince = HashMap<HostName, Instant>()
    private val changes = Channel<Unit>(Channel.CONFLATED)

    /** Whether no process was registered when this one started. */
    private var hasFoundNone = false

    /** Whether the object exists that records that a process of the deployment has started. */
    private var isStartRecorded = false

    /** Whether this process may have created that object although it got no answer. */
    private var isStartInDoubt = false
    private var registeredAt: Instant? = null

    /** Applies [updated], the registrations that are stored in the object API. */
    fun update(updated: ObjectView) {
        if (!view.isComplete && updated.isComplete && updated.objects.isEmpty()) {
            hasFoundNone = true
        }
        view = updated
        registered = decodedMembers.decode(view)
        fleet.updateMembers(registered)
        changes.trySend(Unit)
    }

    /** Keeps [member] registered, and removes lost members, until cancelled. */
    suspend fun run(member: Member) {
        ownMember = member
        while (true) {
            if (view.isComplete && !isRegistered(member)) {
                register(member)
            }
            if (!isStartRecorded && hasToRecordStart(member)) {
                recordStart(member)
            }
            changes.receiveWithin(CHECK_INTERVAL)
            removeLostMembers()
        }
    }

    /** Creates the record of the first start; unlike registrations it stays when all processes stop as planned. */
    private suspend fun recordStart(member: Member) {
        // Names the instance, because an earlier instance on this host may have made the record.
        val value = Payload.of("${member.host} ${member.incarnation}")
        val result =
            if (isStartInDoubt) {
                store.putSettled(FIRST_START, value, expected = null, Duration.ZERO, tries = 1)
            } else {
                store.put(FIRST_START, value, expected = null)
            }
        result.fold(
            success = {
                logger.info("first start recorded host={} version={} new={}", member.host, it, hasFoundNone)
                isStartRecorded = true
                if (hasFoundNone) onNewDeployment()
            },
            failure = {
                isStartRecorded = it is StoreFailure.Conflict
                isStartInDoubt = isStartInDoubt || it is StoreFailure.OutcomeUnknown
                if (!isStartRecorded) logger.warn("first start not recorded host={} cause={}", member.host, it)
            },
        )
    }

    /** Removes the registration of this process, unless nothing else would show later that a process has run. */
    suspend fun deregister() {
        val member = ownMember ?: return
        val stored = view.objects[member.host.text] ?: return
        if (!isStartRecorded) recordStart(member)
        if (isStartRecorded) store.delete(keyOf(member.host), ObjectVersion(stored.version))
    }

    private fun isRegistered(member: Member): Boolean = member.host.text in view.objects && member in registered

    /** Whether [member] has been registered for a while, or is the one of the registered processes that goes first. */
    private fun hasToRecordStart(member: Member): Boolean {
        if (!isRegistered(member)) return false
        val since = registeredAt ?: now().also { registeredAt = it }
        return now() - since >= RECORDING_DELAY || registered.minOf { it.host.text } == member.host.text
    }

    private suspend fun register(member: Member) {
        val storedVersion = view.objects[member.host.text]?.version?.let(::ObjectVersion)
        val value = Payload.of(Json.encodeToString(Member.serializer(), member))
        store.put(keyOf(member.host), value, storedVersion).fold(
            success = { logger.info("registered host={} version={}", member.host, it) },
            failure = { logger.warn("not registered host={} cause={}", member.host, it) },
        )
        changes.receiveWithin(REGISTRATION_PAUSE)
    }

    private suspend fun removeLostMembers() {
        val reachable = fleet.reachable
        val others = fleet.members.map { it.host }.filter { it != fleet.ownHost }
        unreachableSince.keys.retainAll(others.toSet())
        for (host in others) {
            if (host in reachable) {
                unreachableSince.remove(host)
                continue
            }
            val since = unreachableSince.getOrPut(host, now)
            val stored = view.objects[host.text]
            if (now() - since > LOST_TIMEOUT && reachable.isNotEmpty() && stored != null) {
                logger.info("lost member removed host={} silent={}", host, now() - since)
                store.delete(keyOf(host), ObjectVersion(stored.version))
                unreachableSince[host] = now()
            }
        }
    }

    private fun memberOf(stored: ViewObject): Result<Member, UnreadableObject> {
        val value = stored.value ?: return Err(UnreadableObject(stored.name, "deleted"))
        return try {
            Ok(Json.decodeFromString(Member.serializer(), value.toText()))
        } catch (exception: SerializationException) {
            Err(UnreadableObject(stored.name, exception.message.orEmpty().take(MAXIMUM_REASON_CHARACTERS)))
        }
    }

    private fun keyOf(host: HostName) = ObjectKey("$KIND/${host.text}")

    internal companion object {
        /** Kind of the objects that hold the registrations. */
        const val KIND = "members"

        /** Object that exists once a process of the deployment has started. */
        private val FIRST_START = ObjectKey("deployments/first-start")
        private const val MAXIMUM_REASON_CHARACTERS = 200

        /** Time for which a process leaves it to the first one to record the start, as each call has a price. */
        private val RECORDING_DELAY = 3.seconds

        /** Maximum time between two checks of the registrations; a change triggers a check at once. */
        private val CHECK_INTERVAL = 1.seconds

        /** Maximum time to wait for the view to show a registration before it is attempted again. */
        private val REGISTRATION_PAUSE = 500.milliseconds

        /** Time without a message from a process after which its registration is removed. */
        private val LOST_TIMEOUT = 12.seconds
        private val logger = LoggerFactory.getLogger(Membership::class.java)
    }
}
