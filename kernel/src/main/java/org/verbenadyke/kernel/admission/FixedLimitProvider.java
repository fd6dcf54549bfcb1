package org.verbenadyke.kernel.admission;

/**
 * Registers {@link FixedLimit} at its maximum as {@code fixed}.
 */
public final class FixedLimitProvider implements LimitProvider {
    @Override
    public String name() {
        return "fixed";
    }

    @Override
    public ConcurrencyLimit create(LimitSettings settings) {
        return FixedLimit.of(settings.maximum());
    }
}
