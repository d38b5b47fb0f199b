package tanagerlane.cli.demo

/** One line of the demo's closing table. */
internal data class DemoRow(
    val request: String,
    val milliseconds: Long,
    val outcome: String,
)
