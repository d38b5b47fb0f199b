package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.evacuation.HomeRegions
import tanagerlane.joblog.RawItem
import tanagerlane.joblog.SavedEvent
import tanagerlane.joblog.SavedProgress
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.serving.RouteKind
import kotlin.time.Instant

class BatchPlacementTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val vertx = Vertx.vertx()
        val route = FakeDeployment(vertx, emptyList()).route("/jobs/", RouteKind.BATCH)

        afterSpec { vertx.close().coAwait() }

        fun target(
            name: String,
            version: String,
        ) = DirectTarget(
            TargetName(name),
            ServiceName("models"),
            "127.0.0.1:1",
            FailureDomain("a"),
            places = 1,
            version = SoftwareVersion(version),
        )

        /** Returns an item with one event of [version], or without events if it is empty. */
        fun progress(version: String): ItemProgress {
            val id = RequestId("i1")
            val saved = SavedProgress(JobId("j"), id, start, 0, listOf(SavedEvent(1, "a")), SoftwareVersion(version))
            val item = RawItem(id, "/jobs/1", emptyList(), Payload.of("body"), tokens = 1)
            return ItemProgress(item).apply { if (version.isNotEmpty()) restore(saved) }
        }

        data class Case(
            val name: String,
            val full: List<String>,
            val versions: List<String>,
            val placedAt: List<String?>,
        )
        listOf(
            Case(
                "an item of a full version does not hold up others",
                listOf("t1"),
                listOf("v1", ""),
                listOf(null, "t2"),
            ),
            Case("a full service holds up all items", listOf("t1", "t2"), listOf("", "v1", "v2"), List(3) { null }),
            Case("items of another version find the place", listOf("t1"), listOf("v1", "v2"), listOf(null, "t2")),
            Case("an item whose version is gone takes any place", listOf("t1"), listOf("v0", "v1"), listOf("t2", null)),
            Case("items of gone versions wait as others do", listOf("t1", "t2"), listOf("v0", ""), listOf(null, null)),
        ).forEach { case ->
            test(case.name) {
                val balancer = LoadBalancer(HostName("b1"), FailureDomain("a"))
                balancer.configure(listOf(target("t1", "v1"), target("t2", "v2")), start)
                case.full.forEach { balancer.started(TargetName(it), RequestClass.BATCH, start) }
                val placement = BatchPlacement(balancer, TargetRules(HomeRegions(), null), headroom = 0)
                case.versions.map {
                    placement.targetFor(progress(it), route, null, isPressing = false, start)?.name?.text
                } shouldBe case.placedAt
            }
        }
    })
