package tanagerlane.configuration

/** Collects the faults found in the document [file]. */
internal class FaultCollector(
    private val file: String,
) {
    private val collected = mutableListOf<SettingsFault>()

    val faults: List<SettingsFault> get() = collected

    fun unknownField(
        path: String,
        known: List<String>,
    ) {
        collected += SettingsFault.UnknownField(at(path), known)
    }

    fun missingField(path: String) {
        collected += SettingsFault.MissingField(at(path))
    }

    fun wrongType(
        path: String,
        expected: String,
        found: String,
    ) {
        collected += SettingsFault.WrongType(at(path), expected, found)
    }

    fun wrongUnit(
        path: String,
        found: String,
    ) {
        collected += SettingsFault.WrongUnit(at(path), found)
    }

    fun outOfRange(
        path: String,
        found: Any,
        allowed: String,
    ) {
        collected += SettingsFault.OutOfRange(at(path), found.toString(), allowed)
    }

    /** Checks that [value] is in [range]. */
    fun inRange(
        path: String,
        value: Int,
        range: IntRange,
    ) {
        if (value !in range) {
            val allowed =
                if (range.last ==
                    Int.MAX_VALUE
                ) {
                    "at least ${range.first}"
                } else {
                    "${range.first} to ${range.last}"
                }
            outOfRange(path, value, allowed)
        }
    }

    /** Checks that [name] can be used in paths and object keys. */
    fun validName(
        path: String,
        name: String,
    ) {
        if (!NAME.matches(name)) {
            outOfRange(path, "\"$name\"", "letters, digits, '.', '_' and '-'")
        }
    }

    /** Checks that no two of [names] are equal; [path] returns the path of the name at an index. */
    fun unique(
        names: List<String>,
        path: (Int) -> String,
    ) {
        val seen = mutableSetOf<String>()
        for ((index, name) in names.withIndex()) {
            if (!seen.add(name)) {
                collected += SettingsFault.DuplicateName(at(path(index)), name)
            }
        }
    }

    /** Checks that [name], a reference to a [kind], is in [declared]. */
    fun declared(
        path: String,
        kind: String,
        name: String,
        declared: Set<String>,
    ) {
        if (name !in declared) {
            collected += SettingsFault.DanglingReference(at(path), kind, name)
        }
    }

    private fun at(path: String): SettingsLocation = SettingsLocation(file, path)

    private companion object {
        val NAME: Regex = Regex("[A-Za-z0-9._-]+")
    }
}
