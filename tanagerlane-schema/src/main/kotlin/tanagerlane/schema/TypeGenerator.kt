package tanagerlane.schema

import com.squareup.kotlinpoet.AnnotationSpec
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.FileSpec
import com.squareup.kotlinpoet.FunSpec
import com.squareup.kotlinpoet.KModifier
import com.squareup.kotlinpoet.ParameterSpec
import com.squareup.kotlinpoet.PropertySpec
import com.squareup.kotlinpoet.STRING
import com.squareup.kotlinpoet.TypeName
import com.squareup.kotlinpoet.TypeSpec

/** Turns schema files into Kotlin sources, one public type a file. */
public class TypeGenerator(
    private val files: List<SchemaFile>,
) {
    private val typeNames = TypeNames(files)

    /** Returns every generated file, in the order of the schema. */
    public fun generate(): List<FileSpec> = files.flatMap { file -> file.types.map { generate(file, it) } }

    private fun generate(
        file: SchemaFile,
        type: SchemaType,
    ): FileSpec {
        val builder =
            FileSpec
                .builder(file.packageName, type.name)
                .indent("    ")
                .addFileComment("Generated from the schema; change the schema instead.")
                .addType(typeSpec(type))
        val defaults = type.fields.mapNotNull { it.default }
        for (unit in DURATION_UNITS) {
            if (defaults.any { it.endsWith(".$unit") }) {
                builder.addImport(DURATION_COMPANION, unit)
            }
        }
        return builder.build()
    }

    private fun typeSpec(type: SchemaType): TypeSpec {
        val builder =
            when (type.kind) {
                SchemaKind.DATA -> dataType(type)
                SchemaKind.ENUM -> enumType(type)
                SchemaKind.SEALED -> TypeSpec.interfaceBuilder(type.name).addModifiers(KModifier.SEALED)
                SchemaKind.VALUE -> valueType(type)
            }
        builder.addKdoc("%L", type.documentation)
        builder.addAnnotation(SERIALIZABLE)
        type.parent?.let { builder.addSuperinterface(typeNames.resolve(it)) }
        if (type.parent != null) {
            builder.addAnnotation(serialName(type.name))
        }
        return builder.build()
    }

    private fun dataType(type: SchemaType): TypeSpec.Builder {
        if (type.fields.isEmpty()) {
            return TypeSpec.objectBuilder(type.name).addModifiers(KModifier.DATA)
        }
        val constructor = FunSpec.constructorBuilder()
        val builder = TypeSpec.classBuilder(type.name).addModifiers(KModifier.DATA)
        for (field in type.fields) {
            val fieldType = typeNames.resolve(field.type)
            constructor.addParameter(parameter(field, fieldType))
            builder.addProperty(property(field.name, fieldType, field.documentation))
        }
        return builder.primaryConstructor(constructor.build())
    }

    private fun parameter(
        field: SchemaField,
        type: TypeName,
    ): ParameterSpec {
        val builder = ParameterSpec.builder(field.name, type)
        field.default?.let { builder.defaultValue("%L", it) }
        return builder.build()
    }

    private fun property(
        name: String,
        type: TypeName,
        documentation: String,
    ): PropertySpec =
        PropertySpec
            .builder(name, type)
            .initializer(name)
            .addKdoc("%L", documentation)
            .build()

    private fun enumType(type: SchemaType): TypeSpec.Builder {
        val builder = TypeSpec.enumBuilder(type.name)
        for (constant in type.constants) {
            val body =
                TypeSpec
                    .anonymousClassBuilder()
                    .addKdoc("%L", constant.documentation)
                    .addAnnotation(serialName(constant.name.lowercase()))
                    .build()
            builder.addEnumConstant(constant.name, body)
        }
        return builder
    }

    private fun valueType(type: SchemaType): TypeSpec.Builder {
        val wrapped = typeNames.resolve(requireNotNull(type.wraps) { "value type ${type.name} lacks wraps" })
        val property = if (wrapped == STRING) TEXT_PROPERTY else NUMBER_PROPERTY
        val constructor = FunSpec.constructorBuilder().addParameter(property, wrapped).build()
        val text =
            FunSpec
                .builder("toString")
                .addModifiers(KModifier.OVERRIDE)
                .returns(STRING)
                .addStatement(if (wrapped == STRING) "return $property" else "return $property.toString()")
                .build()
        return TypeSpec
            .classBuilder(type.name)
            .addModifiers(KModifier.VALUE)
            .addAnnotation(ClassName("kotlin.jvm", "JvmInline"))
            .primaryConstructor(constructor)
            .addProperty(PropertySpec.builder(property, wrapped).initializer(property).build())
            .addFunction(text)
    }

    private companion object {
        const val TEXT_PROPERTY = "text"
        const val NUMBER_PROPERTY = "number"
        val DURATION_COMPANION: ClassName = ClassName("kotlin.time", "Duration", "Companion")
        val DURATION_UNITS: List<String> = listOf("milliseconds", "seconds", "minutes", "hours")
        val SERIALIZABLE: AnnotationSpec =
            AnnotationSpec.builder(ClassName("kotlinx.serialization", "Serializable")).build()

        fun serialName(name: String): AnnotationSpec =
            AnnotationSpec
                .builder(ClassName("kotlinx.serialization", "SerialName"))
                .addMember("%S", name)
                .build()
    }
}
