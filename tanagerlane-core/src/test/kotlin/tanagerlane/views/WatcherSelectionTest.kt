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

        fun due(
            own: HostName,
            peers: Collection<HostName>,
            age: Duration?,
        ) = WatcherSelection(own, watchers = 2, updateTimeout = 1.seconds).shouldWatch("targets", peers - own, age)

        test("two of three hundred processes watch while all hear each other") {
            hosts.count { due(it, hosts, 100.milliseconds) } shouldBe 2
        }

        test("a process that hears nobody watches by itself") {
            due(hosts[7], emptyList(), 100.milliseconds) shouldBe true
        }

        test("a process without news for longer than its patience watches by itself") {
            hosts.count { due(it, hosts, 1001.milliseconds) } shouldBe 300
        }

        test("a process that has never heard anything watches by itself") {
            hosts.count { due(it, hosts, null) } shouldBe 300
        }

        test("another process takes over when a watcher falls silent") {
            val watchers = hosts.filter { due(it, hosts, 100.milliseconds) }
            val rest = hosts - watchers.first()
            val successors = rest.filter { due(it, rest, 100.milliseconds) }
            successors.size shouldBe 2
            (watchers.last() in successors) shouldBe true
        }
    })
