package tanagerlane.direct

import tanagerlane.joblog.ListedResult

/**
 * Returns as many of the first results as fit into [maximumBytes], but at least one.
 *
 * Each result counts with the length of its text and [overheadBytes].
 */
internal fun List<ListedResult>.takeWithinBytes(
    maximumBytes: Int,
    overheadBytes: Int = 0,
): List<ListedResult> {
    var bytes = 0
    return takeWhile { result ->
        val isFirst = bytes == 0
        bytes += result.text.length + overheadBytes
        isFirst || bytes <= maximumBytes
    }
}
