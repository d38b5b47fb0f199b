package tanagerlane.direct

import com.github.michaelbull.result.getOrElse
import org.slf4j.LoggerFactory
import tanagerlane.views.ObjectView

/** Decodes the objects of a view and caches the results, so that each version is decoded only once. */
internal class DecodedObjects<T>(
    private val source: ViewSource<T>,
) {
    private var decoded: Map<String, DecodedObject<T>> = emptyMap()

    /** Returns the decoded objects of [view], without those that cannot be decoded. */
    fun decode(view: ObjectView): List<T> {
        decoded =
            view.objects.mapValues { (name, stored) ->
                decoded[name]?.takeIf { it.version == stored.version }
                    ?: DecodedObject(
                        stored.version,
                        source.decode(stored).getOrElse { logUnreadable(it, stored.version) },
                    )
            }
        return decoded.values.mapNotNull { it.value }
    }

    private fun logUnreadable(
        fault: UnreadableObject,
        version: Long,
    ): T? {
        logger.warn(
            "object not decoded kind={} name={} version={} cause={}",
            source.kind,
            fault.name,
            version,
            fault.reason,
        )
        return null
    }

    private data class DecodedObject<T>(
        val version: Long,
        val value: T?,
    )

    private companion object {
        val logger = LoggerFactory.getLogger(DecodedObjects::class.java)
    }
}
