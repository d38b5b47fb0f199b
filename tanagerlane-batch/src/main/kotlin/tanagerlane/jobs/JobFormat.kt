package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import tanagerlane.model.Payload
import tanagerlane.store.StoredObject

/** Form of the stored objects. */
@OptIn(ExperimentalSerializationApi::class)
internal val jobFormat: Cbor =
    Cbor {
        alwaysUseByteString = true
        ignoreUnknownKeys = true
    }

/** Encodes an object to store. */
@OptIn(ExperimentalSerializationApi::class)
internal inline fun <reified T> encoded(value: T): Payload = Payload.of(jobFormat.encodeToByteArray(value))

/** Decodes a stored object. */
@OptIn(ExperimentalSerializationApi::class)
internal inline fun <reified T> StoredObject.decoded(): Result<T, JobError> =
    try {
        Ok(jobFormat.decodeFromByteArray<T>(value.toByteArray()))
    } catch (_: SerializationException) {
        Err(JobError.Unreadable(key))
    } catch (_: IllegalArgumentException) {
        Err(JobError.Unreadable(key))
    }
