package tanagerlane.serving

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.RefusalReason
import tanagerlane.model.WorkspaceName

/** Guards against jobs that nobody can read, and against jobs that another workspace can read. */
class JobOwnershipTest :
    FunSpec({
        val batch = route(name = "jobs", prefix = "/jobs/", kind = RouteKind.BATCH)
        val closed = configuration(batch)
        val open = configuration(batch.copy(open = true))
        val withoutKeys = closed.copy(workspaces = emptyMap(), keys = emptyMap())
        val owner = crews.name
        val other = WorkspaceName("others")

        data class DenialCase(
            val name: String,
            val owner: WorkspaceName?,
            val caller: WorkspaceName?,
            val expected: RefusalReason?,
            val configuration: ServingConfiguration = closed,
            val isCurrent: Boolean = true,
        )
        listOf(
            DenialCase("the owner", owner, owner, null),
            DenialCase("another workspace", owner, other, RefusalReason.NOT_FOUND),
            DenialCase("no key", owner, null, RefusalReason.NO_KEY),
            DenialCase("no key on an open route", owner, null, RefusalReason.NO_KEY, open),
            DenialCase(
                "an unknown key while the configuration may be stale",
                owner,
                null,
                RefusalReason.CONFIGURATION_STALE,
                isCurrent = false,
            ),
            DenialCase("no key for a job without an owner", null, null, null),
            DenialCase("any key for a job without an owner", null, other, null),
            DenialCase("no key once no keys are needed", owner, null, null, withoutKeys),
        ).forEach { case ->
            test("a job is denied to ${case.name}: ${case.expected}") {
                JobOwnership.denialOf(case.owner, case.caller, case.configuration, case.isCurrent) shouldBe
                    case.expected
            }
        }

        test("a submission repeats an earlier one unless both have different owners") {
            val workspaces = listOf(null, owner, other)
            val apart = workspaces.flatMap { a -> workspaces.map { b -> a to b } }
            apart.filterNot { (a, b) -> JobOwnership.isRepeat(a, b) } shouldBe listOf(owner to other, other to owner)
        }

        test("unknown jobs are looked up only for callers who may read some") {
            listOf(closed to null, closed to owner, open to null, withoutKeys to null).map { (configuration, caller) ->
                JobOwnership.mayLookUp(caller, configuration, "rail.example")
            } shouldBe listOf(false, true, true, true)
        }
    })
