package tanagerlane.direct

import tanagerlane.joblog.ListedResult

/** Returns as many of the first results as fit into [maximumBytes] by [bytesOf], but at least one. */
internal fun List<ListedResult>.takeWithinBytes(
    maximumBytes: Int,
    bytesOf: (ListedResult) -> Int,
): List<ListedResult> {
    var bytes = 0L
    val fitting =
        takeWhile { result ->
            bytes += bytesOf(result)
            bytes <= maximumBytes
        }
    return fitting.ifEmpty { take(1) }
}
