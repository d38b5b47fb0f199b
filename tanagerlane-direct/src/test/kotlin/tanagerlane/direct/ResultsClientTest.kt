package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.ListedResult
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import kotlin.time.Duration

@OptIn(ExperimentalCoroutinesApi::class)
class ResultsClientTest :
    FunSpec({
        test("a reply to a query of an earlier instance of a process is not taken for one to a later instance") {
            runTest {
                val queries = ArrayList<ResultsQuery>()
                val (earlier, later) = List(2) { ResultsClient { _, message -> queries += message as ResultsQuery } }
                val runner = HostName("batch-1")
                backgroundScope.launch { earlier.query(runner, JobId("day"), after = 0, wait = Duration.ZERO) }
                runCurrent()
                val read = async { later.query(runner, JobId("night"), after = 0, wait = Duration.ZERO) }
                runCurrent()
                for (query in queries) {
                    val result = ListedResult(RequestId("item of ${query.job}"), ItemEnd.COMPLETED, "event 1")
                    later.onReply(ResultsReply(query.query, listOf(result)))
                }
                read.await()?.results?.map { it.id.text } shouldBe listOf("item of night")
            }
        }
    })
