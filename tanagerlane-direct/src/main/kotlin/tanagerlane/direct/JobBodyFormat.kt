package tanagerlane.direct

import com.github.michaelbull.result.Result
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.RawItem
import tanagerlane.model.Payload

/**
 * Format of the bodies of job calls.
 *
 * @property readItems reads the items of a submission
 * @property writeResults writes results: the number of items, the position after the results, and the results
 */
public data class JobBodyFormat(
    val readItems: (Payload) -> Result<List<RawItem>, UnreadableObject>,
    val writeResults: (Int, Int, List<ListedResult>) -> Payload,
)
