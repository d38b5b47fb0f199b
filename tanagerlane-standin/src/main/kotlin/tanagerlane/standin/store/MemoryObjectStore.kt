package tanagerlane.standin.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.model.Payload
import tanagerlane.store.Changes
import tanagerlane.store.Listing
import tanagerlane.store.ObjectChange
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import java.util.TreeMap
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration

/** The object API in memory, with fault switches and a count of calls. */
public class MemoryObjectStore(
    private val maximumValueBytes: Int = MAXIMUM_VALUE_BYTES,
) : ObjectStore {
    /** Faults in force; may be changed at any time. */
    @Volatile
    public var faults: StoreFaults = StoreFaults()

    private val lock = Any()
    private val entries = TreeMap<String, Entry>()
    private val latest = MutableStateFlow(0L)
    private val reads = LongAdder()
    private val writes = LongAdder()
    private val watches = LongAdder()

    /** Calls received so far. */
    public val calls: StoreCalls
        get() = StoreCalls(reads = reads.sum(), writes = writes.sum(), watches = watches.sum())

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> {
        reads.increment()
        fault()?.let { return Err(it) }
        val stored = synchronized(lock) { entries[key.path]?.stored(key) }
        return if (stored == null) Err(StoreFailure.NotFound(key)) else Ok(stored)
    }

    override suspend fun list(prefix: String): Result<Listing, StoreFailure> {
        reads.increment()
        fault()?.let { return Err(it) }
        return synchronized(lock) {
            val objects = below(prefix).mapNotNull { (path, entry) -> entry.stored(ObjectKey(path)) }.toList()
            Ok(Listing(objects = objects, at = ObjectVersion(latest.value)))
        }
    }

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        if (value.size > maximumValueBytes) {
            return Err(StoreFailure.TooLarge(key, maximumValueBytes))
        }
        return write(key, value, expected)
    }

    override suspend fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreFailure> = write(key, null, expected).map { }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<Changes, StoreFailure> {
        watches.increment()
        fault()?.let { return Err(it) }
        withTimeoutOrNull(wait) { latest.first { hasChanges(prefix, after) } }
        fault()?.let { return Err(it) }
        return Ok(changes(prefix, after))
    }

    private suspend fun write(
        key: ObjectKey,
        value: Payload?,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        writes.increment()
        fault()?.let { return Err(it) }
        val outcome = synchronized(lock) { writeLocked(key, value, expected) }
        return if (faults.loseAnswers) Err(StoreFailure.OutcomeUnknown("answer lost")) else outcome
    }

    private fun writeLocked(
        key: ObjectKey,
        value: Payload?,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        val current = entries[key.path]?.stored(key)?.version
        if (current != expected) {
            return Err(StoreFailure.Conflict(key, current))
        }
        val version = ObjectVersion(latest.value + 1)
        entries[key.path] = Entry(version, value)
        latest.value = version.number
        return Ok(version)
    }

    private suspend fun fault(): StoreFailure? {
        val current = faults
        if (current.delay > Duration.ZERO) {
            delay(current.delay)
        }
        return if (faults.down) StoreFailure.Unavailable("object API is down") else null
    }

    private fun hasChanges(
        prefix: String,
        after: ObjectVersion,
    ): Boolean = synchronized(lock) { below(prefix).any { (_, entry) -> entry.version > after } }

    private fun changes(
        prefix: String,
        after: ObjectVersion,
    ): Changes =
        synchronized(lock) {
            val changes =
                below(prefix)
                    .filter { (_, entry) -> entry.version > after }
                    .map { (path, entry) -> change(ObjectKey(path), entry) }
                    .toList()
            Changes(changes = changes, at = ObjectVersion(latest.value))
        }

    private fun change(
        key: ObjectKey,
        entry: Entry,
    ): ObjectChange = ObjectChange(key, entry.stored(key))

    private fun below(prefix: String): Sequence<Map.Entry<String, Entry>> =
        entries
            .tailMap(prefix)
            .asSequence()
            .takeWhile { it.key.startsWith(prefix) }

    /** An object, or the mark that it was deleted where [value] is null. */
    private data class Entry(
        val version: ObjectVersion,
        val value: Payload?,
    ) {
        fun stored(key: ObjectKey): StoredObject? = value?.let { StoredObject(key, version, it) }
    }

    private companion object {
        const val MAXIMUM_VALUE_BYTES = 1 shl 20
    }
}
