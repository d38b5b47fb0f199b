package tanagerlane.configuration

/**
 * A position in a settings document.
 *
 * @property file name of the document
 * @property path fields and list indices from the root, such as `targets[3].window`; empty for the whole document
 * @property line line number, counted from 1, or null if only the path is known
 */
public data class SettingsLocation(
    val file: String,
    val path: String,
    val line: Int? = null,
) {
    override fun toString(): String = listOfNotNull(file, line?.toString(), path.ifEmpty { null }).joinToString(":")
}
