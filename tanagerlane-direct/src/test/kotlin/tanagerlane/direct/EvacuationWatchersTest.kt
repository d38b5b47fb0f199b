package tanagerlane.direct

import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.string.shouldContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.model.Payload
import tanagerlane.routing.RendezvousHash
import tanagerlane.store.ObjectKey
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.seconds

class EvacuationWatchersTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = HttpClient.newHttpClient()
        afterSpec { vertx.close().coAwait() }

        suspend fun status(port: Int): String =
            withContext(Dispatchers.IO) {
                val request = HttpRequest.newBuilder(URI("http://localhost:$port/status")).build()
                client.send(request, HttpResponse.BodyHandlers.ofString()).body()
            }

        // Guards against evacuations that nobody learns of because the processes died that watch for all others.
        listOf(0, 1, 2).forEach { lost ->
            test("all processes learn of an evacuation as $lost of its two watchers die") {
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                val names = (1..5).map { "entry-$it" }
                val ports = names.associateWith { deployment.freePorts() }
                val processes = names.associateWith { Vertx.vertx() }
                processes.forEach { (name, own) ->
                    deployment.start(name, "entry", ports = ports.getValue(name), vertx = own, furtherSettings = BOUND)
                }
                eventually(20.seconds) {
                    ports.values.forEach { status(it[2]) shouldContain "\"reachable\":4" }
                }
                val dying = RendezvousHash.ranked("evacuations", names) { it }.take(lost)
                dying.forEach { processes.getValue(it).close().coAwait() }
                deployment.store.put(ObjectKey("evacuations/a"), Payload.of("any"), null).getOrElse { error("$it") }
                (names - dying).forEach { name ->
                    eventually(20.seconds) { status(ports.getValue(name)[2]) shouldContain "\"evacuations\":{\"a\":" }
                }
                (names - dying).forEach { processes.getValue(it).close().coAwait() }
            }
        }
    }) {
    private companion object {
        const val BOUND = "evacuationBound = '5s'"
    }
}
