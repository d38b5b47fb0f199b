package tanagerlane.direct

import tanagerlane.joblog.ListedResult

/** Returns as many of the first results as [maximumBytes] hold, at least one; [overhead] counts for each of them. */
internal fun List<ListedResult>.takeWithinBytes(
    maximumBytes: Int,
    overhead: Int = 0,
): List<ListedResult> {
    var bytes = 0
    return takeWhile { result ->
        val isFirst = bytes == 0
        bytes += result.text.length + overhead
        isFirst || bytes <= maximumBytes
    }
}
