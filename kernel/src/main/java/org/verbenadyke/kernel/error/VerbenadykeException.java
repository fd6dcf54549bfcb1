package org.verbenadyke.kernel.error;

import java.text.MessageFormat;
import java.util.ResourceBundle;

/**
 * The unchecked exception of the project, with a typed code and a message that states the remedy.
 */
public final class VerbenadykeException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final ResourceBundle MESSAGES = ResourceBundle.getBundle("org.verbenadyke.kernel.error.messages");

    private final ErrorCode code;

    private VerbenadykeException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception.
     *
     * @param code the kind of error
     * @param arguments the values of the placeholders of the message, in order
     * @return the exception, to be thrown
     */
    public static VerbenadykeException of(ErrorCode code, Object... arguments) {
        return new VerbenadykeException(code, describe(code, arguments));
    }

    /**
     * Formats an error's message without throwing it.
     *
     * @param code the kind of error
     * @param arguments the values of the placeholders of the message, in order
     * @return the code and the text
     */
    public static String describe(ErrorCode code, Object... arguments) {
        Object[] texts = new Object[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            texts[i] = String.valueOf(arguments[i]);
        }
        return code.code() + " " + MessageFormat.format(MESSAGES.getString(code.code()), texts);
    }

    /**
     * Returns the kind of error.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }
}
