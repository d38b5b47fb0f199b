package tanagerlane.direct

import io.vertx.core.MultiMap
import tanagerlane.joblog.RawHeader
import tanagerlane.model.WorkspaceName
import tanagerlane.places.DirectTarget
import kotlin.time.Duration

/** Builds the headers of requests to targets. */
internal class RequestHeaders(
    private val names: HeaderNames,
) {
    private val replaced =
        setOf(names.key, names.workspace, names.deadline, names.expectedTarget, names.resumeAfter)
            .mapTo(HashSet()) { it.lowercase() }

    /** Returns the headers for a caller's request that arrived with the headers [received]. */
    fun forCaller(
        received: MultiMap,
        target: DirectTarget,
        workspace: WorkspaceName?,
        remaining: Duration,
        resumeAfter: Long?,
    ): MultiMap =
        targetHeaders(received.endToEndHeaders(replaced), target, workspace, resumeAfter)
            .add(names.deadline, millisecondsText(remaining))

    /** Returns the headers for an item of a job; [host] is the host name of its route. */
    fun forItem(
        id: String,
        host: String,
        headers: List<RawHeader>,
        target: DirectTarget,
        workspace: WorkspaceName?,
        resumeAfter: Long?,
    ): MultiMap {
        val received = MultiMap.caseInsensitiveMultiMap()
        headers.forEach { received.add(it.name, it.value) }
        received.set("host", host)
        received.set(names.requestId, id)
        return targetHeaders(received.endToEndHeaders(replaced), target, workspace, resumeAfter)
    }

    private fun targetHeaders(
        forwarded: List<Map.Entry<String, String>>,
        target: DirectTarget,
        workspace: WorkspaceName?,
        resumeAfter: Long?,
    ): MultiMap {
        val headers = MultiMap.caseInsensitiveMultiMap()
        forwarded.forEach { headers.add(it.key, it.value) }
        headers.set(names.expectedTarget, target.name.text)
        workspace?.let { headers.set(names.workspace, it.text) }
        resumeAfter?.let { headers.set(names.resumeAfter, it.toString()) }
        return headers
    }

    private fun millisecondsText(remaining: Duration): String =
        remaining.inWholeMilliseconds.coerceAtLeast(1).toString()
}
