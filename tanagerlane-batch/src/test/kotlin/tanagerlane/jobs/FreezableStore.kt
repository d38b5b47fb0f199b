package tanagerlane.jobs

import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration

/** The object API as a host sees it whose process can be paused before each of its writes; answers come late. */
internal class FreezableStore(
    private val store: ObjectStore,
    private val answerDelay: Duration,
) : ObjectStore by store {
    val frozen = MutableStateFlow(false)

    suspend fun awaitThaw() {
        frozen.first { !it }
    }

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        awaitThaw()
        val outcome = store.put(key, value, expected)
        delay(answerDelay)
        return outcome
    }
}
