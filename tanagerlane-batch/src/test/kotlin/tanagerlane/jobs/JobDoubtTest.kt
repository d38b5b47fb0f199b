package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.test.runTest
import tanagerlane.batch.JobKeys
import tanagerlane.job.JobHeader
import tanagerlane.model.Payload
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Instant

/** Guards against calls about jobs that fail as "took no effect" although the header may be stored. */
class JobDoubtTest :
    FunSpec({
        for (write in HeaderWrite.entries) {
            for (call in Call.entries) {
                test("a call is not settled while a header may be stored: $call, $write, then an outage") {
                    runTest {
                        val shared = MemoryObjectStore()
                        if (call == Call.CANCEL) submit(shared, "earlier")
                        val error = call.make(OutageStore(shared, write))
                        (error is JobError.Unsettled) shouldBe write.leavesDoubt(call)
                        val header =
                            shared
                                .get(KEYS.headerKey)
                                .get()
                                ?.decoded<JobHeader>()
                                ?.get()
                        header?.let { shared.get(KEYS.itemsKey(it.upload, 0)).isOk } shouldBe header?.let { true }
                    }
                }
            }
        }
    })

private val KEYS = JobKeys(JobBench.WORKSPACE, JobBench.JOB)
private val START = Instant.fromEpochSeconds(0)

private suspend fun submit(
    store: ObjectStore,
    upload: String,
): Result<JobReceipt, JobError> {
    val submission = JobSubmission(JobBench.WORKSPACE, JobBench.JOB, due = START)
    return JobStore(store, { upload }).submit(submission, flowOf(JobBench.lineOf("one")), START)
}

private enum class Call(
    val make: suspend (ObjectStore) -> JobError?,
) {
    SUBMIT({ store -> submit(store, "own").fold({ null }, { it }) }),
    CANCEL({ store ->
        JobStore(store, { "own" }).cancel(JobBench.WORKSPACE, JobBench.JOB, START).fold({ null }, { it })
    }),
}

/** What becomes of the write of a header before the outage. */
private enum class HeaderWrite {
    REFUSED,
    ANSWER_LOST,

    /** It is made twice, and the answer is that of the second call. */
    REPEATED,

    /** Another process writes first. */
    OVERTAKEN,

    /** Another process writes first, which is read back before the outage. */
    READ_BACK,
    ;

    fun leavesDoubt(call: Call): Boolean = this != REFUSED && (this != READ_BACK || call == Call.SUBMIT)
}

/** An object API that is down from the first write of a header on. */
private class OutageStore(
    private val store: ObjectStore,
    private val write: HeaderWrite,
) : ObjectStore by store {
    private var isDown = false
    private var readsLeft = if (write == HeaderWrite.READ_BACK) 1 else 0

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> =
        if (isDown && readsLeft-- <= 0) Err(StoreFailure.Unavailable("busy")) else store.get(key)

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        if (key != KEYS.headerKey) return store.put(key, value, expected)
        val refused = Err(StoreFailure.Unavailable("busy"))
        if (isDown) return refused
        isDown = true
        return when (write) {
            HeaderWrite.REFUSED -> {
                refused
            }

            HeaderWrite.ANSWER_LOST -> {
                store.put(key, value, expected).let { Err(StoreFailure.OutcomeUnknown("lost")) }
            }

            HeaderWrite.REPEATED -> {
                store.put(key, value, expected).let { store.put(key, value, expected) }
            }

            HeaderWrite.OVERTAKEN, HeaderWrite.READ_BACK -> {
                overtake(key, expected)
                store.put(key, value, expected)
            }
        }
    }

    private suspend fun overtake(
        key: ObjectKey,
        expected: ObjectVersion?,
    ) {
        if (expected == null) {
            submit(store, "earlier")
        } else {
            store.put(key, checkNotNull(store.get(key).get()).value, expected)
        }
    }
}
