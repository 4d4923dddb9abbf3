package org.skylarkfork.standin.settings;

import com.fasterxml.jackson.annotation.JacksonAnnotationsInside;
import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Marks a number or a truth value that settings may leave out; it is then zero or false. */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.FIELD, ElementType.PARAMETER})
@JacksonAnnotationsInside
@JsonDeserialize(using = ZeroIfAbsentDeserializer.class)
public @interface ZeroIfAbsent {}
