package org.verbenadyke.kernel.call;

/**
 * One HTTP header field.
 *
 * @param name the name, in lower case
 * @param value the value
 */
public record HeaderField(String name, String value) {}
