package tanagerlane.configuration

/** Reason why a settings document or an inventory was rejected. */
public sealed interface SettingsFault {
    /** Position of the fault in the document. */
    public val location: SettingsLocation

    /** Description of the fault in one line, for operators. */
    public val reason: String

    /** The document is truncated or not valid TOML; [detail] is the message of the parser. */
    public data class Malformed(
        override val location: SettingsLocation,
        val detail: String,
    ) : SettingsFault {
        override val reason: String get() = "not valid TOML: $detail"
    }

    /** The table has no field of this name; [known] lists the fields that it can have. */
    public data class UnknownField(
        override val location: SettingsLocation,
        val known: List<String>,
    ) : SettingsFault {
        override val reason: String get() = "unknown field; known fields are ${known.joinToString()}"
    }

    /** A required field is absent. */
    public data class MissingField(
        override val location: SettingsLocation,
    ) : SettingsFault {
        override val reason: String get() = "missing field"
    }

    /** The value does not have the type [expected]. */
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

    /** The value has the right type but is not allowed. */
    public data class OutOfRange(
        override val location: SettingsLocation,
        val found: String,
        val allowed: String,
    ) : SettingsFault {
        override val reason: String get() = "$found is not allowed; expected $allowed"
    }

    /** An earlier entry has the same name. */
    public data class DuplicateName(
        override val location: SettingsLocation,
        val name: String,
    ) : SettingsFault {
        override val reason: String get() = "duplicate name $name"
    }

    /** No [kind] of this name is declared. */
    public data class DanglingReference(
        override val location: SettingsLocation,
        val kind: String,
        val name: String,
    ) : SettingsFault {
        override val reason: String get() = "no $kind is named $name"
    }
}
