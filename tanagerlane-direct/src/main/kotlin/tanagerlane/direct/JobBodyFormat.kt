package tanagerlane.direct

import com.github.michaelbull.result.Result
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.RawItem
import tanagerlane.model.Payload

/**
 * Format of the bodies of job calls.
 *
 * @property items reads the items of a submission
 * @property results writes results: the number of items, the position after the results, and the results
 * @property resultBytes returns the number of bytes of a result in the body that [results] writes
 */
public data class JobBodyFormat(
    val items: (Payload) -> Result<List<RawItem>, UnreadableObject>,
    val results: (Int, Int, List<ListedResult>) -> Payload,
    val resultBytes: (ListedResult) -> Int,
)
