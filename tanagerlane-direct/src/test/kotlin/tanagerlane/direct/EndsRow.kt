package tanagerlane.direct

/** A request, the point of its way that it has reached, what happens then, and whether the entry stops after that. */
internal data class EndsRow(
    val kind: Kind,
    val point: Point,
    val event: Event,
    val isStopped: Boolean = false,
) {
    /** Whether entries stop while the request is open. */
    val stops: Boolean get() = isStopped || event.stops

    /** Name of the rows that are played together. */
    val group: String
        get() = if (event == Event.SMALL_BUDGET && point == Point.UNREAD) "$point with a small budget" else "$point"

    /** Kind of call. */
    enum class Kind(
        val method: String,
        val path: String,
        val key: String = "good-key",
    ) {
        STREAM("POST", "/streams/1"),
        ONCE("POST", "/once/1"),
        SAFE("POST", "/calls/1"),
        SUBMIT("POST", "/jobs/1"),
        RESULTS("GET", "/results/known"),
        ITEM("GET", "/items/known?id=a"),
        END("DELETE", "/ends/known"),
        LOOKUP("GET", "/items/other?id=a"),
        UNKNOWN_ROUTE("POST", "/nowhere"),
        WRONG_KEY("POST", "/once/1", key = "bad-key"),
        ODD_QUERY("POST", "/once/1?a=%zz"),
        ;

        /** Returns the text of a request with [id] and [body]. */
        fun request(
            id: String,
            body: String,
        ): String =
            "$method $path HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: $id\r\n" +
                "Credential: $key\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }

    /** Point of a request on its way. */
    enum class Point {
        /** The whole request has just been sent. */
        READ,

        /** Part of the body has arrived; the rest follows the event. */
        BODY,

        /** The object API does not answer the calls of the request. */
        STORE,

        /** The targets have no free place, and the request waits for one. */
        PLACE,

        /** A target has the request and has not begun to answer. */
        HEAD,

        /** The target has sent half of the answer. */
        MIDDLE,

        /** The target has sent the answer, and the caller reads it after the event. */
        UNREAD,

        /** The request was sent on a connection whose earlier request still runs at a target. */
        AHEAD,

        /** A target has been silent before the head of the answer, and no other one has a free place. */
        SILENT_HEAD,

        /** A target has been silent in the middle of the answer, and no other one has a free place. */
        SILENT_MIDDLE,

        /** As [SILENT_HEAD]; another target gets free places after the event. */
        ELSEWHERE_HEAD,

        /** As [SILENT_MIDDLE]; another target gets free places after the event. */
        ELSEWHERE_MIDDLE,
        ;

        /** Whether a target is silent for so long that the request looks for a place elsewhere. */
        val isSilent: Boolean get() = ordinal >= SILENT_HEAD.ordinal

        /** Whether the target has sent half of the answer. */
        val isMiddle: Boolean get() = this == MIDDLE || this == SILENT_MIDDLE || this == ELSEWHERE_MIDDLE

        /** Whether another target gets free places while the one of the request stays silent. */
        val isElsewhere: Boolean get() = this == ELSEWHERE_HEAD || this == ELSEWHERE_MIDDLE
    }

    /** What happens while the request is at its point. */
    enum class Event(
        val stops: Boolean = false,
    ) {
        STOP(stops = true),

        /** The stop time is over before the request can go on. */
        STOP_RUNS_OUT(stops = true),

        /** The entry stops, and after it the other one; what was refused is sent to that. */
        STOP_OF_TWO(stops = true),
        ROUTE_REMOVED,
        ROUTE_MOVED,
        SERVICE_MOVED,
        WEIGHT_ZERO,
        TIMEOUT_SHORTENED,
        KEY_REMOVED,
        LIMITS_LOWERED,
        ROUTE_REMOVED_AND_STOP(stops = true),
        STORE_HANGS,
        STORE_DOWN,
        TARGET_SILENT,
        TARGET_GONE,
        SMALL_BUDGET,
    }

    companion object {
        private val online = listOf(Kind.STREAM, Kind.ONCE, Kind.SAFE)
        private val jobCalls = listOf(Kind.SUBMIT, Kind.RESULTS, Kind.ITEM, Kind.END)
        private val withBody = online + Kind.SUBMIT + Kind.UNKNOWN_ROUTE + Kind.WRONG_KEY
        private val stops = listOf(Event.STOP, Event.STOP_RUNS_OUT, Event.ROUTE_REMOVED_AND_STOP)
        private val configurations =
            listOf(Event.ROUTE_REMOVED, Event.ROUTE_MOVED, Event.KEY_REMOVED, Event.LIMITS_LOWERED)
        private val allConfigurations =
            configurations + Event.SERVICE_MOVED + Event.WEIGHT_ZERO + Event.TIMEOUT_SHORTENED
        private val targetEvents =
            listOf(Event.TARGET_SILENT, Event.TARGET_GONE, Event.STORE_HANGS, Event.STORE_DOWN, Event.SMALL_BUDGET)

        /** All rows of requests at [point]. */
        fun at(point: Point): List<EndsRow> =
            when (point) {
                Point.READ -> rows(Kind.entries, point, listOf(Event.STOP, Event.ROUTE_REMOVED, Event.STORE_HANGS))
                Point.BODY -> rows(withBody, point, stops + configurations + Event.STOP_OF_TWO + Event.SMALL_BUDGET)
                Point.STORE -> rows(jobCalls + Kind.LOOKUP, point, stops + configurations + Event.STORE_DOWN)
                Point.PLACE -> rows(online, point, stops + configurations + targetEvents)
                Point.HEAD -> rows(online, point, stops + configurations + targetEvents + Event.STOP_OF_TWO)
                Point.MIDDLE -> rows(online, point, stops + configurations + targetEvents)
                Point.UNREAD -> rows(online, point, listOf(Event.STOP, Event.LIMITS_LOWERED, Event.SMALL_BUDGET))
                Point.AHEAD -> rows(online + jobCalls, point, stops + Event.KEY_REMOVED + Event.TARGET_GONE)
                else -> rows(online, point, stops)
            }

        /** All rows of online requests at [point] beside each change of the configuration, alone and before a stop. */
        fun besideConfigurations(point: Point): List<EndsRow> =
            rows(online, point, allConfigurations).flatMap { listOf(it, it.copy(isStopped = true)) }

        private fun rows(
            kinds: List<Kind>,
            point: Point,
            events: List<Event>,
        ): List<EndsRow> = kinds.flatMap { kind -> events.map { EndsRow(kind, point, it) } }
    }
}
