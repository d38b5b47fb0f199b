package tanagerlane.resumption

import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.message.StreamOrigin
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.places.DirectTarget
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One incarnation of an entry or runner of [fleet]. */
internal class SimulatedProcess(
    private val fleet: SimulatedFleet,
    val host: HostName,
    val role: HostRole,
    val domain: FailureDomain,
    val startedAt: Instant,
) {
    val directory = OriginDirectory(host)
    val runs = LinkedHashSet<SimulatedRun>()
    private val open = HashMap<Long, OpenQuery>()
    private var staleSince: Instant? = null
    private var frozenUntil: Instant? = null
    private var outOfStepUntil = startedAt
    private var hasOldMessages = false

    /** What this process has seen of the store. */
    var view = StoredState(-1, emptyList(), emptyList())
        private set

    /** Time at which this process was killed, or null while it runs. */
    var killedAt: Instant? = null
    var isCut = false
        private set
    val isRunning: Boolean get() = killedAt == null
    val isCurrent: Boolean get() = staleSince?.let { fleet.now - it <= MAXIMUM_TARGETS_AGE } ?: true
    val isFrozen: Boolean get() = frozenUntil?.let { fleet.now < it } ?: false

    /** Whether this process is out of step, or was until shortly before. */
    val isOutOfStep: Boolean get() = staleSince != null || isFrozen || fleet.now < outOfStepUntil

    fun member() = Member(host, role, Incarnation(startedAt.toEpochMilliseconds()), domain, "10.0.0.1:7660")

    fun see(state: StoredState) {
        if (!isFrozen && staleSince == null) update(state)
    }

    private fun update(state: StoredState) {
        if (isRunning && state.number > view.number) {
            fleet.statesAfter(view.number).forEach { directory.versions.observePassed(it.targets, fleet.now) }
            view = state
            observe()
        }
    }

    fun observe() {
        if (isRunning) {
            directory.observe(view.targets, fleet.now, ObjectVersion(view.number.toLong())).forEach(::report)
        }
    }

    /** Stops updates of the view for [time]; if [cut], no messages are exchanged either. */
    fun beStale(
        time: Duration,
        cut: Boolean,
    ) {
        staleSince = fleet.now
        isCut = cut
        outOfStepUntil = fleet.now + time + RECOVERY_TIME
        fleet.after(time) {
            staleSince = null
            isCut = false
            see(fleet.stored)
        }
    }

    /** Stands still for [time]; what it reads first then is old, so that the view is updated some time later. */
    fun freeze(time: Duration) {
        val until = fleet.now + time
        frozenUntil = until
        outOfStepUntil = until + RECOVERY_TIME
        fleet.after(time) {
            staleSince = fleet.now
            hasOldMessages = true
            if (isRunning) observe()
            fleet.after(CATCH_UP_TIME) {
                hasOldMessages = false
                staleSince = null
                see(fleet.stored)
            }
        }
    }

    /** Does [action] now, or when this process goes on after it was frozen. */
    fun whenAwake(action: () -> Unit) {
        val pause = frozenUntil?.let { it - fleet.now } ?: Duration.ZERO
        if (pause > Duration.ZERO) fleet.after(pause) { if (isRunning) action() } else action()
    }

    fun began(
        attempt: RequestId,
        target: DirectTarget,
    ) {
        directory.began(attempt, target, fleet.now)?.let(::report)
    }

    private fun report(origin: StreamOrigin) {
        for (keeper in OriginKeepers.told(origin.attempt, view.members, host)) {
            fleet.outcome.reports++
            fleet.send(this, keeper) { it.directory.received(listOf(origin), fleet.now) }
        }
    }

    /** Passes what the keepers of the stream know to [done], or null if there are none. */
    fun ask(
        attempt: RequestId?,
        service: ServiceName,
        done: (Collection<OriginReply>?) -> Unit,
    ) {
        val asked = OriginKeepers.asked(attempt, view.members, host)
        if (asked.isEmpty()) done(null) else ask(asked, attempt, service, done)
    }

    /** Reads the store, and passes whether that has succeeded to [done]. */
    fun confirm(done: (Boolean) -> Unit) {
        fleet.outcome.reads++
        val reachesStore = !isFrozen && !isCut && (staleSince == null || hasOldMessages)
        fleet.after(if (reachesStore) READ_TIME else CONFIRMATION_TIMEOUT) {
            whenAwake {
                if (reachesStore) update(fleet.stored)
                done(reachesStore)
            }
        }
    }

    /** Reads the changes between what [replies] tell and the first listing of this process. */
    fun readMissing(
        replies: Collection<OriginReply>,
        done: () -> Unit,
    ) {
        val since = directory.missingSince(SimulatedTargets.SERVICE, replies, fleet.now) ?: return done()
        fleet.outcome.reads++
        fleet.after(READ_TIME) {
            whenAwake {
                val listed = fleet.statesAfter(since.number.toInt()).flatMap { it.targets }.distinct()
                val names = fleet.stored.targets.mapTo(HashSet()) { it.name }
                if (listed.all { it.name in names }) directory.versions.extend(listed, since, fleet.now)
                done()
            }
        }
    }

    /** Asks a few processes about services of whose earlier versions this one does not know. */
    fun learnVersions() {
        if (!isRunning) return
        for (service in directory.unknownServices(fleet.now)) {
            val asked = fleet.someReachable(this, ASKED_ABOUT_VERSIONS).ifEmpty { return }
            val askedAt = fleet.now
            ask(asked, null, service) { directory.learn(service, it.orEmpty(), askedAt, fleet.now) }
        }
    }

    private fun ask(
        asked: List<HostName>,
        attempt: RequestId?,
        service: ServiceName,
        done: (Collection<OriginReply>?) -> Unit,
    ) {
        val query = OriginQuery(host, fleet.nextQuery(), attempt, service)
        val pending = OpenQuery(asked, done)
        open[query.query] = pending
        asked.forEach { send(query, it) }
        fleet.after(REPEAT_AFTER) { if (!pending.isDone) (asked - pending.replies.keys).forEach { send(query, it) } }
        fleet.after(REPLY_TIMEOUT) {
            whenAwake {
                open.remove(query.query)
                pending.finish()
            }
        }
    }

    private fun send(
        query: OriginQuery,
        keeper: HostName,
    ) {
        if (isRunning) {
            fleet.outcome.queries++
            fleet.send(this, keeper) { it.received(query) }
        }
    }

    private fun received(query: OriginQuery) {
        // A view that is updated is seen with a delay.
        val age =
            staleSince?.let { fleet.now - it + SimulatedFleet.MAXIMUM_VIEW_DELAY } ?: SimulatedFleet.MAXIMUM_VIEW_DELAY
        val reply = directory.reply(query, isCurrent, fleet.now, age)
        fleet.outcome.replies++
        fleet.send(this, query.host) { it.open[reply.query]?.received(reply) }
    }

    private class OpenQuery(
        private val expected: List<HostName>,
        private val done: (Collection<OriginReply>?) -> Unit,
    ) {
        val replies = LinkedHashMap<HostName, OriginReply>()
        var isDone = false
            private set

        fun received(reply: OriginReply) {
            if (!isDone) {
                replies[reply.host] = reply
                if (reply.origin != null || replies.keys.containsAll(expected)) finish()
            }
        }

        fun finish() {
            if (!isDone) {
                isDone = true
                done(replies.values)
            }
        }
    }

    private companion object {
        val MAXIMUM_TARGETS_AGE = 3.seconds
        val RECOVERY_TIME = 500.milliseconds
        val CATCH_UP_TIME = 400.milliseconds
        val READ_TIME = 4.milliseconds
        val CONFIRMATION_TIMEOUT = 300.milliseconds
        val REPEAT_AFTER = 30.milliseconds
        val REPLY_TIMEOUT = 100.milliseconds
        const val ASKED_ABOUT_VERSIONS = 3
    }
}
