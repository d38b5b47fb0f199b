package tanagerlane.configuration

/** Why a settings document or an inventory was not accepted. */
public sealed interface SettingsFault {
    /** Where the fault lies. */
    public val location: SettingsLocation

    /** What is wrong, in one line for operators. */
    public val reason: String

    /** The document is truncated or not TOML; [detail] is the parser's account. */
    public data class Malformed(
        override val location: SettingsLocation,
        val detail: String,
    ) : SettingsFault {
        override val reason: String get() = "not valid TOML: $detail"
    }

    /** No field has this name here; [known] are the fields that exist. */
    public data class UnknownField(
        override val location: SettingsLocation,
        val known: List<String>,
    ) : SettingsFault {
        override val reason: String get() = "unknown field; known here are ${known.joinToString()}"
    }

    /** A required field is absent. */
    public data class MissingField(
        override val location: SettingsLocation,
    ) : SettingsFault {
        override val reason: String get() = "missing field"
    }

    /** The value has another type than [expected]. */
    public data class WrongType(
        override val location: SettingsLocation,
        val expected: String,
        val found: String,
    ) : SettingsFault {
        override val reason: String get() = "expected $expected but found $found"
    }

    /** A duration lacks its unit or has an unknown one. */
    public data class WrongUnit(
        override val location: SettingsLocation,
        val found: String,
    ) : SettingsFault {
        override val reason: String get() = "expected a duration in ms, s, m or h, such as \"250ms\", but found $found"
    }

    /** The value is well formed but not allowed. */
    public data class OutOfRange(
        override val location: SettingsLocation,
        val found: String,
        val allowed: String,
    ) : SettingsFault {
        override val reason: String get() = "$found is not allowed; expected $allowed"
    }

    /** Another entry before this one has the same name. */
    public data class DuplicateName(
        override val location: SettingsLocation,
        val name: String,
    ) : SettingsFault {
        override val reason: String get() = "duplicate name $name"
    }

    /** Nothing of this [kind] is declared under this name. */
    public data class DanglingReference(
        override val location: SettingsLocation,
        val kind: String,
        val name: String,
    ) : SettingsFault {
        override val reason: String get() = "no $kind is named $name"
    }
}
