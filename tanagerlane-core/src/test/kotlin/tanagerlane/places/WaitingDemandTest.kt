package tanagerlane.places

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.admission.PlaceFinder
import tanagerlane.message.WaitingCount
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.RequestClass
import tanagerlane.model.TargetName

/** Batch items must not keep or take places that online requests wait for. */
class WaitingDemandTest :
    FunSpec({
        val entry = HostName("entry")
        val runner = HostName("runner")

        test("when a request finds no place, all batch items have been told to give way") {
            val entrySide = LoadBalancer(entry, FailureDomain("a"), LoadBalancerSettings(queueShare = 0.0))
            val runnerSide = LoadBalancer(runner, FailureDomain("a"))
            listOf(entrySide, runnerSide).forEach { it.configure(listOf(target("t1"), target("t2"))) }
            repeat(3) { runnerSide.started(TargetName("t1"), RequestClass.BATCH) }
            repeat(8) { runnerSide.started(TargetName("t2"), RequestClass.BATCH) }
            entrySide.received(runner, report("runner", *runnerSide.report().toTypedArray()), start)
            val finder = PlaceFinder(entrySide)
            while (true) {
                val found = finder.find(PlacementRequest(models), start) as? Placement.At ?: break
                finder.sent(found.target.name)
            }
            runnerSide.received(entry, report("entry", *entrySide.report().toTypedArray()), start)
            runnerSide.itemsToPreempt(start) shouldBe mapOf(TargetName("t1") to 3, TargetName("t2") to 8)
        }

        listOf(0 to true, 1 to true, 2 to false, 30 to false).forEach { (waiting, isPlaced) ->
            test(
                "with two free places and $waiting waiting requests, a batch item is ${if (isPlaced) "" else "not "}sent",
            ) {
                val balancer = LoadBalancer(runner, FailureDomain("a")).apply { configure(listOf(target("t1"))) }
                val waitingCounts = if (waiting == 0) emptyList() else listOf(WaitingCount(models, waiting))
                balancer.received(entry, report("entry", at("t1", online = 6)).copy(waiting = waitingCounts), start)
                (balancer.placeBatch(models, start) != null) shouldBe isPlaced
            }
        }
    })
