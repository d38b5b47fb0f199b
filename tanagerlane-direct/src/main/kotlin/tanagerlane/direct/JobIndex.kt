package tanagerlane.direct

import org.slf4j.LoggerFactory
import tanagerlane.joblog.JobRecord
import tanagerlane.message.JobBacklog
import tanagerlane.message.ViewObject
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import tanagerlane.model.WorkspaceName
import tanagerlane.routing.RendezvousHash
import tanagerlane.views.ObjectView
import kotlin.time.Instant

/** The stored jobs, with the remaining work that their runners report. */
internal class JobIndex(
    private val storage: JobStorage,
) {
    private val records = HashMap<JobId, JobRecord>()
    private val unreadableVersions = HashMap<JobId, Long>()
    private val backlogs = HashMap<JobId, Long>()
    private val finishedJobs = HashSet<JobId>()

    /** Jobs that the client ended. */
    var endedJobs: Set<JobId> = emptySet()
        private set

    /** Replaces the stored jobs by those in [view]. */
    fun update(view: ObjectView) {
        val present = HashSet<JobId>()
        for ((name, stored) in view.objects) {
            val value = stored.value ?: continue
            if (name.startsWith(JobStorage.RECORD_PREFIX)) {
                val job = JobId(name.removePrefix(JobStorage.RECORD_PREFIX))
                present += job
                if (job !in records) {
                    val record = storage.decodeRecord(value)
                    if (record == null) logUnreadable(job, stored) else records[job] = record
                }
            }
        }
        records.keys.retainAll(present)
        unreadableVersions.keys.retainAll(present)
        backlogs.keys.retainAll(present)
        finishedJobs.retainAll(present)
        endedJobs =
            view.objects.keys
                .filter { it.startsWith(JobStorage.END_PREFIX) }
                .mapTo(HashSet()) { JobId(it.removePrefix(JobStorage.END_PREFIX)) }
    }

    /** Returns the stored record of [job], or null if it is not known here. */
    fun record(job: JobId): JobRecord? = records[job]

    /** Adds the record of a job that this process stored or read itself. */
    fun add(record: JobRecord) {
        records[record.job] = record
    }

    /** Returns the jobs that may have items left to run. */
    fun open(): List<JobRecord> = records.values.filter { it.job !in endedJobs && it.job !in finishedJobs }

    /** Whether [job] has no items left to run. */
    fun isFinished(job: JobId): Boolean = job in finishedJobs || job in endedJobs

    /** Records that [job] has no items left to run. */
    fun markFinished(job: JobId) {
        finishedJobs += job
    }

    /** Updates the remaining work of some jobs from the report of a runner. */
    fun updateBacklogs(backlog: List<JobBacklog>) {
        finishedJobs += backlog.filter { it.tokens == 0L }.map { it.job }
        backlog.forEach { backlogs[it.job] = it.tokens }
    }

    /** Returns the unfinished tokens of [workspace] on [route], except of jobs that may be given up at [now]. */
    fun waitingTokens(
        workspace: WorkspaceName?,
        route: String,
        now: Instant,
    ): Long =
        open()
            .filter { it.workspace == workspace && it.route == route && it.keepUntil > now }
            .sumOf { record -> backlogs[record.job] ?: record.tokens }

    private fun logUnreadable(
        job: JobId,
        stored: ViewObject,
    ) {
        if (unreadableVersions.put(job, stored.version) != stored.version) {
            logger.warn(
                "object not decoded kind={} name={} version={} cause=no record of a job",
                JobStorage.JOBS_KIND,
                stored.name,
                stored.version,
            )
        }
    }

    internal companion object {
        private val logger = LoggerFactory.getLogger(JobIndex::class.java)

        /** Returns the process among [runners] that runs [job], or null if [runners] is empty. */
        fun runnerOf(
            job: JobId,
            runners: Collection<HostName>,
        ): HostName? = RendezvousHash.best(job.text, runners) { it.text }
    }
}
