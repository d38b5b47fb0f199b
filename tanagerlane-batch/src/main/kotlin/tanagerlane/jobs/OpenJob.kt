package tanagerlane.jobs

import tanagerlane.batch.JobKeys
import tanagerlane.job.JobHeader
import tanagerlane.model.ModelName
import tanagerlane.store.ObjectVersion

/** An open job as the watch last reported it. */
internal data class OpenJob(
    val header: JobHeader,
    val version: ObjectVersion,
) {
    val keys: JobKeys = JobKeys(header.workspace, header.job)
    val chunkCount: Int = header.chunkModels.size
    private val chunkModels: ByteArray = header.chunkModels.toByteArray()

    fun modelOf(chunk: Int): ModelName = header.models[chunkModels[chunk].toInt()]
}
