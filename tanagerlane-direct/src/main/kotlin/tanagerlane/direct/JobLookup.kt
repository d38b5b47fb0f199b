package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.slf4j.LoggerFactory
import tanagerlane.joblog.JobRecord
import tanagerlane.model.JobId
import tanagerlane.model.RefusalReason
import tanagerlane.serving.JobCallRecipient
import tanagerlane.serving.JobOwnership
import tanagerlane.serving.ServingConfiguration
import tanagerlane.store.StoreFailure
import kotlin.time.Instant

/** Finds the job that a call is about. */
internal class JobLookup(
    private val storage: JobStorage,
    private val jobIndex: JobIndex,
    private val wallClock: () -> Instant,
) {
    /**
     * Returns the record of [job] if the caller may read and end it, null if the call is a request for a route, or why
     * the call is refused.
     */
    suspend fun find(
        job: JobId,
        exchange: CallerExchange,
        configuration: ServingConfiguration,
        isCurrent: Boolean,
    ): Result<JobRecord?, RefusalReason> {
        val known = jobIndex.record(job)
        val recipient = JobCallRecipient.of(configuration, exchange.host, exchange.path, known?.routeHost)
        if (recipient == JobCallRecipient.ROUTE) {
            return Ok(null)
        }
        val caller = configuration.workspaceOf(exchange.key)
        if (known == null && !JobOwnership.mayLookUp(caller, configuration, exchange.host)) {
            return when {
                recipient == JobCallRecipient.SYSTEM_IF_STORED -> Ok(null)
                isCurrent -> Err(RefusalReason.NO_KEY)
                else -> Err(RefusalReason.CONFIGURATION_STALE)
            }
        }
        val record =
            known ?: storage.record(job).getOrElse { failure ->
                logger.info("job not found job={} recipient={} failure={}", job, recipient, failure)
                return when {
                    failure !is StoreFailure.NotFound -> Err(RefusalReason.STORE_UNAVAILABLE)
                    recipient == JobCallRecipient.SYSTEM_IF_STORED -> Ok(null)
                    else -> Err(RefusalReason.NOT_FOUND)
                }
            }
        if (jobIndex.isFinished(job) && record.expiresAt <= wallClock()) {
            logger.info("job expired job={} expired_at={}", job, record.expiresAt)
            return Err(RefusalReason.NOT_FOUND)
        }
        JobOwnership.denialOf(record.workspace, caller, configuration, isCurrent)?.let { reason ->
            logger.info("job call denied job={} owner={} caller={}", job, record.workspace, caller)
            return Err(reason)
        }
        jobIndex.add(record)
        return Ok(record)
    }

    private companion object {
        val logger = LoggerFactory.getLogger(JobLookup::class.java)
    }
}
