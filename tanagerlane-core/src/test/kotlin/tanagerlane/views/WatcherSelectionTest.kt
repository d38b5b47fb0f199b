package tanagerlane.views

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WatcherSelectionTest :
    FunSpec({
        val hosts = (1..300).map { HostName("host-$it") }

        fun shouldWatch(
            own: HostName,
            peers: Collection<HostName>,
            age: Duration?,
        ) = WatcherSelection(own, watchers = 2, updateTimeout = 1.seconds).shouldWatch("targets", peers - own, age)

        test("two of 300 processes watch while all can reach each other") {
            hosts.count { shouldWatch(it, hosts, 100.milliseconds) } shouldBe 2
        }

        test("a process without reachable peers watches on its own") {
            shouldWatch(hosts[7], emptyList(), 100.milliseconds) shouldBe true
        }

        test("a process without an update for longer than its timeout watches on its own") {
            hosts.count { shouldWatch(it, hosts, 1001.milliseconds) } shouldBe 300
        }

        test("a process that has never received an update watches on its own") {
            hosts.count { shouldWatch(it, hosts, null) } shouldBe 300
        }

        test("another process takes over when a watcher becomes unreachable") {
            val watchers = hosts.filter { shouldWatch(it, hosts, 100.milliseconds) }
            val remaining = hosts - watchers.first()
            val successors = remaining.filter { shouldWatch(it, remaining, 100.milliseconds) }
            successors.size shouldBe 2
            (watchers.last() in successors) shouldBe true
        }
    })
