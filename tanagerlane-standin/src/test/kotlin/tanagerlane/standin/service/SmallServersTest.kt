package tanagerlane.standin.service

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.RequestId
import tanagerlane.standin.hosts.HostList
import tanagerlane.standin.hosts.HostListServer
import tanagerlane.standin.hosts.ListedHost
import tanagerlane.standin.http.TargetFaults
import tanagerlane.standin.weights.WeightServer
import kotlin.time.Duration.Companion.hours

class SmallServersTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = WebClient.create(vertx)
        afterSpec { vertx.close().coAwait() }

        suspend fun call(
            port: Int,
            method: HttpMethod,
            path: String,
            body: String = "",
        ): HttpResponse<Buffer> =
            client
                .request(method, port, "127.0.0.1", path)
                .putHeader("x-request-id", "r1")
                .sendBuffer(Buffer.buffer(body))
                .coAwait()

        test("the service answers with what it received and counts failed calls too") {
            val service = ServiceServer(vertx)
            val port = service.start(0)
            val echo = call(port, HttpMethod.PUT, "/logs/7?x=1", "frost").bodyAsString().orEmpty()
            Json.decodeFromString<Echo>(echo) shouldBe Echo("PUT", "/logs/7?x=1", "frost")
            service.faults = TargetFaults(fail = true)
            call(port, HttpMethod.POST, "/logs").statusCode() shouldBe 500
            service.runs shouldBe mapOf(RequestId("r1") to 2)
            call(port, HttpMethod.GET, "/runs/r1").bodyAsString() shouldBe """{"calls":2}"""
            service.stop()
        }

        test("the weight store sends whole files and knows no others") {
            val weights = WeightServer(vertx, sizes = mapOf("a" to 2_500), bytesPerSecond = 100_000)
            val port = weights.start(0)
            call(port, HttpMethod.GET, "/weights/a").body()?.length() shouldBe 2_500
            call(port, HttpMethod.GET, "/weights/b").statusCode() shouldBe 404
            weights.stop()
        }

        test("the host list does not show a change before its lag has passed") {
            val host = ListedHost(HostName("h1"), "127.0.0.1", FailureDomain("d1"))
            val hosts = HostListServer(vertx, listOf(host), lag = 1.hours)
            val port = hosts.start(0)
            hosts.change(listOf(host.copy(leaving = true)))
            val shown = call(port, HttpMethod.GET, "/hosts").bodyAsString().orEmpty()
            Json.decodeFromString<HostList>(shown) shouldBe HostList(listOf(host))
            hosts.stop()
        }
    })
