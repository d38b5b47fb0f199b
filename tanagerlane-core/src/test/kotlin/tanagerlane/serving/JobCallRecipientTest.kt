package tanagerlane.serving

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against requests of a service that are taken for calls about jobs, and the reverse. */
class JobCallRecipientTest :
    FunSpec({
        val batch = route(name = "jobs", prefix = "/jobs/", kind = RouteKind.BATCH)
        val all = route(name = "all", prefix = "/", kind = RouteKind.SAFE)
        val allJobs = route(name = "all", prefix = "/", kind = RouteKind.BATCH)
        val host = "rail.example"

        data class RecipientCase(
            val name: String,
            val routes: List<ServingRoute>,
            val jobHost: String?,
            val expected: JobCallRecipient,
        )
        listOf(
            RecipientCase("an unknown job where jobs are accepted", listOf(batch), null, JobCallRecipient.SYSTEM),
            RecipientCase("a known job where jobs are accepted", listOf(batch), host, JobCallRecipient.SYSTEM),
            RecipientCase("a path of the batch route", listOf(allJobs), null, JobCallRecipient.SYSTEM),
            RecipientCase(
                "a path of a service where jobs are accepted",
                listOf(batch, all),
                null,
                JobCallRecipient.SYSTEM_IF_STORED,
            ),
            RecipientCase("a known job with such a path", listOf(batch, all), host, JobCallRecipient.SYSTEM),
            RecipientCase("a job whose route has moved", listOf(batch, all), "old.example", JobCallRecipient.SYSTEM),
            RecipientCase("a path of a service", listOf(all), null, JobCallRecipient.ROUTE),
            RecipientCase("a job of another host", listOf(all), "old.example", JobCallRecipient.ROUTE),
            RecipientCase("a job whose route was replaced", listOf(all), host, JobCallRecipient.SYSTEM),
            RecipientCase("a job whose route was removed", emptyList(), host, JobCallRecipient.SYSTEM),
            RecipientCase("an unknown job without a route", emptyList(), null, JobCallRecipient.SYSTEM_IF_STORED),
        ).forEach { case ->
            test("${case.name}: ${case.expected}") {
                val configuration = configuration(*case.routes.toTypedArray())
                JobCallRecipient.of(configuration, host, "/lots/17", case.jobHost) shouldBe case.expected
            }
        }
    })
