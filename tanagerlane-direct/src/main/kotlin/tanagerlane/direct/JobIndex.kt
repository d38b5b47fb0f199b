package tanagerlane.direct

import tanagerlane.joblog.JobRecord
import tanagerlane.message.JobBacklog
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import tanagerlane.model.WorkspaceName
import tanagerlane.routing.RendezvousHash
import tanagerlane.views.ObjectView
import kotlin.time.Instant

/** The jobs that are stored, and what their runners report of them. */
internal class JobIndex(
    private val storage: JobStorage,
) {
    private val cards = HashMap<JobId, JobRecord>()
    private val backlogs = HashMap<JobId, Long>()
    private val finished = HashSet<JobId>()

    var ended: Set<JobId> = emptySet()
        private set

    /** Takes in the stored jobs. */
    fun update(view: ObjectView) {
        val present = HashSet<JobId>()
        for ((name, stored) in view.objects) {
            val value = stored.value ?: continue
            if (name.startsWith(JobStorage.RECORD_PREFIX)) {
                val job = JobId(name.removePrefix(JobStorage.RECORD_PREFIX))
                present += job
                if (job !in cards) {
                    storage.decodeRecord(value)?.let { cards[job] = it }
                }
            }
        }
        cards.keys.retainAll(present)
        backlogs.keys.retainAll(present)
        finished.retainAll(present)
        ended =
            view.objects.keys
                .filter { it.startsWith(JobStorage.END_PREFIX) }
                .mapTo(HashSet()) { JobId(it.removePrefix(JobStorage.END_PREFIX)) }
    }

    fun record(job: JobId): JobRecord? = cards[job]

    /** Adds a job that this process has stored or read itself. */
    fun add(card: JobRecord) {
        cards[card.job] = card
    }

    /** Jobs that may have items to run. */
    fun open(): List<JobRecord> = cards.values.filter { it.job !in ended && it.job !in finished }

    /** Whether nothing of [job] is left to run. */
    fun isFinished(job: JobId): Boolean = job in finished || job in ended

    /** Notes that nothing of [job] is left. */
    fun markFinished(job: JobId) {
        finished += job
    }

    /** Takes in what a runner has reported of some of its jobs. */
    fun updateBacklogs(backlog: List<JobBacklog>) {
        finished += backlog.filter { it.tokens == 0L }.map { it.job }
        backlog.forEach { backlogs[it.job] = it.tokens }
    }

    /** Tokens of [workspace] that wait on [route]. */
    fun waitingTokens(
        workspace: WorkspaceName?,
        route: String,
        now: Instant,
    ): Long =
        open()
            .filter { it.workspace == workspace && it.route == route && it.keepUntil > now }
            .sumOf { card -> backlogs[card.job] ?: card.tokens }

    internal companion object {
        /** Returns the process among [runners] that runs [job], or null when there is none. */
        fun runnerOf(
            job: JobId,
            runners: Collection<HostName>,
        ): HostName? = RendezvousHash.best(job.text, runners) { it.text }
    }
}
