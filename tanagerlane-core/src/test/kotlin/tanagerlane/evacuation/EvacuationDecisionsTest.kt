package tanagerlane.evacuation

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import tanagerlane.model.FailureDomain
import tanagerlane.model.RegionName
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import tanagerlane.places.DirectTarget
import tanagerlane.places.PlacementRequest
import tanagerlane.serving.RouteKind
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EvacuationDecisionsTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(0)
        val targets =
            listOf("a1", "a2", "b1").map {
                DirectTarget(TargetName(it), ServiceName("s"), "10.0.0.1:1", FailureDomain(it.take(1)), places = 4)
            }

        fun domains(names: String) = names.split(' ').filter(String::isNotEmpty).mapTo(HashSet(), ::FailureDomain)

        // Guards against targets that are left out or kept by mistake, and against ages that start anew.
        data class EvacuationCase(
            val name: String,
            val before: String = "",
            val listed: String,
            val permitted: String,
            val ages: String,
            val unknown: String = "",
        )
        listOf(
            EvacuationCase("none", listed = "", permitted = "a1 a2 b1", ages = ""),
            EvacuationCase("one that is new", listed = "a", permitted = "b1", ages = "a=1s"),
            EvacuationCase("one that lasts", before = "a", listed = "a b", permitted = "", ages = "a=3s b=1s"),
            EvacuationCase("one that has ended", before = "a b", listed = "b", permitted = "a1 a2", ages = "b=3s"),
            EvacuationCase("an unknown domain", listed = "x", permitted = "a1 a2 b1", ages = "x=1s", unknown = "x"),
        ).forEach { case ->
            test("evacuations: ${case.name}") {
                val evacuations =
                    Evacuations()
                        .updated(domains(case.before), start)
                        .updated(domains(case.listed), start + 2.seconds)
                evacuations.permitted(targets).joinToString(" ") { it.name.text } shouldBe case.permitted
                val ages = evacuations.ages(start + 3.seconds).entries.sortedBy { it.key.text }
                ages.joinToString(" ") { "${it.key.text}=${it.value}" } shouldBe case.ages
                evacuations.unknown(domains("a b")) shouldBe domains(case.unknown)
            }
        }

        // Guards against requests that are sent without knowledge, and against a process that never serves without it.
        data class GraceCase(
            val name: String,
            val sinceStart: Duration,
            val age: Duration?,
            val hasCopy: Boolean,
            val maySend: Boolean,
        )
        listOf(
            GraceCase("nothing received", 0.1.seconds, null, false, maySend = false),
            GraceCase("nothing received for the bound", 5.1.seconds, null, false, maySend = true),
            GraceCase("a view as old as the bound", 0.1.seconds, 5.seconds, true, maySend = true),
            GraceCase("a copy of an outage", 0.1.seconds, 30.seconds, true, maySend = false),
            GraceCase("a copy of an outage, and nothing newer", 1.1.seconds, 30.seconds, true, maySend = true),
            GraceCase("a view of before a pause", 1.1.seconds, 30.seconds, false, maySend = false),
            GraceCase("a view of before a short pause", 0.1.seconds, 4.seconds, false, maySend = true),
        ).forEach { case ->
            test("requests may be sent with ${case.name}: ${case.maySend}") {
                EvacuationGrace(5.seconds).maySend(case.sinceStart, case.age, case.hasCopy) shouldBe case.maySend
            }
        }

        fun regions(names: String) = names.split(' ').filter(String::isNotEmpty).mapTo(HashSet(), ::RegionName)

        val plainRoute =
            ServingRoute("r", "h", "/", RouteKind.SAFE, emptyList(), timeout = 1.seconds, objective = 1.seconds)
        val plainWorkspace = ServingWorkspace(WorkspaceName("w"), null, null)
        val homeRegions =
            HomeRegions(mapOf(FailureDomain("a") to RegionName("north"), FailureDomain("b") to RegionName("south")))

        // Guards against requests that leave their home regions, and against limits where there are no homes.
        data class HomeCase(
            val name: String,
            val route: String = "",
            val workspace: String? = "",
            val permitted: String,
        )
        listOf(
            HomeCase("no homes", permitted = "a b c"),
            HomeCase("no homes and no workspace", workspace = null, permitted = "a b c"),
            HomeCase("homes of the route", route = "north", workspace = null, permitted = "a"),
            HomeCase("homes of the workspace", workspace = "south", permitted = "b"),
            HomeCase("homes of both", route = "north south", workspace = "south", permitted = "b"),
            HomeCase("homes without overlap", route = "north", workspace = "south", permitted = ""),
            HomeCase("an unknown region", route = "west", permitted = ""),
        ).forEach { case ->
            test("home regions: ${case.name}") {
                val workspace = case.workspace?.let { plainWorkspace.copy(homeRegions = regions(it)) }
                val mayUse = homeRegions.targetsFor(plainRoute.copy(homeRegions = regions(case.route)), workspace)
                val permitted = domains("a b c").filter { mayUse(targets.first().copy(failureDomain = it)) }
                permitted.toSet() shouldBe domains(case.permitted)
            }
        }

        test("a request without home regions is placed as before, without a rule of its own") {
            homeRegions.targetsFor(plainRoute, plainWorkspace) shouldBeSameInstanceAs PlacementRequest.ANY_TARGET
        }
    })
