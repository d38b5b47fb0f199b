package tanagerlane.direct

import com.github.michaelbull.result.Ok
import tanagerlane.joblog.ListedResult
import tanagerlane.joblog.RawItem
import tanagerlane.model.Payload
import tanagerlane.model.RequestId

/** Bodies of jobs and of their results in plain text. */
internal object PlainTextJobs {
    /** Reads and writes the bodies. */
    val FORMAT = JobBodyFormat(items = { Ok(itemsOf(it.toText())) }, results = ::resultsOf, resultBytes = { 40 })

    /** Returns one item for each line of [body]: its id and, after a space, the least number of bytes of its body. */
    private fun itemsOf(body: String): List<RawItem> =
        body.lines().map { line ->
            val id = line.substringBefore(' ')
            val bytes = line.substringAfter(' ', missingDelimiterValue = "0").toInt()
            RawItem(RequestId(id), "/jobs/$id", emptyList(), Payload.of("body of $id".padEnd(bytes)), tokens = 1)
        }

    private fun resultsOf(
        total: Int,
        next: Int,
        results: List<ListedResult>,
    ): Payload =
        Payload.of(results.joinToString("") { "${it.id} ${it.end} ${it.text.lines().size}\n" } + "$next of $total")
}
