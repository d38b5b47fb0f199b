package tanagerlane.cli.operator

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.cli.rootCommand
import tanagerlane.message.RefusalMinute
import tanagerlane.message.RefusalTally
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import tanagerlane.runtime.StoredDocuments
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.StoreFaults
import tanagerlane.store.ObjectKey

class RefusalsCommandTest :
    FunSpec({
        val store = MemoryObjectStore()

        fun run(options: String): CliktCommandTestResult =
            rootCommand { store }.test("refusals --object-api http://127.0.0.1:1 $options")

        beforeSpec {
            for ((host, minute) in listOf("entry-0" to 0L, "entry-1" to 0L, "entry-0" to 1L)) {
                val value = RefusalMinute(HostName(host), Incarnation(1), minute, talliesOf(minute))
                val payload = StoredDocuments.encode(RefusalMinute.serializer(), value)
                store.put(ObjectKey("refusals/$host-1/$minute"), payload, null)
            }
        }

        val none = "no workspace: requests refused: 3\n  no_key, not_run: 3\n"
        val all =
            none + "workspace north: minutes of refusal: 2, requests refused: 9\n" +
                "  outcome_unknown, unknown: 3\n  rate_limited, not_run: 6\n"
        val lastMinute =
            "no workspace: requests refused: 1\n  no_key, not_run: 1\n" +
                "workspace north: minutes of refusal: 1, requests refused: 3\n" +
                "  outcome_unknown, unknown: 1\n  rate_limited, not_run: 2\n"
        val cases =
            listOf(
                "" to all,
                "--workspace north" to all.removePrefix(none),
                "--since 1970-01-01T00:01:59Z" to lastMinute,
                "--workspace south" to "no such refusals are stored\n",
            )
        for ((options, expected) in cases) {
            test("refusals of all hosts are counted with options \"$options\"") {
                run(options).output shouldBe expected
            }
        }

        test("a time that is none, an object that can't be read and an object API that is down are told") {
            run("--since dawn")
                .stderr
                .trim()
                .lines()
                .last() shouldBe
                "Error: invalid value for --since: dawn is not a time such as 2026-01-31T06:00:00Z"
            store.put(ObjectKey("refusals/entry-9-1/0"), Payload.of("{}"), null)
            val partial = run("")
            partial.stdout shouldBe all
            "${partial.statusCode} ${partial.stderr}" shouldBe
                "1 tanagerlane: not counted, since it can't be read: refusals/entry-9-1/0\n"
            store.faults = StoreFaults(down = true)
            run("").stderr shouldBe "tanagerlane: the object API can't be reached (object API is down)\n"
        }
    })

private fun talliesOf(minute: Long): List<RefusalTally> =
    listOf(
        RefusalTally(minute, WorkspaceName("north"), RefusalReason.RATE_LIMITED, RunState.NOT_RUN, 2),
        RefusalTally(minute, WorkspaceName("north"), RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN, 1),
        RefusalTally(minute, null, RefusalReason.NO_KEY, RunState.NOT_RUN, 1),
    )
